# The whole of it needs a JDK 17, Maven and make.
MVN = mvn -B

.PHONY: build test lint format run bench-start clean

build:
	$(MVN) -q -Dmaven.test.skip=true package

# The formatter and the linters, unit, property and loopback tests, then the built jar over the simulator's wire.
test:
	$(MVN) -Plint spotless:check clean verify

# The formatter, the linters, and every compiler warning as an error, in the tests too.
lint:
	$(MVN) -q -Plint spotless:check clean test-compile

# Formats the whole tree.
format:
	$(MVN) -q spotless:apply

# One gatherer, by the file in EDGE_CONFIG: make run EDGE_CONFIG=deploy/opensearch.json
run: build
	EDGE_CONFIG="$(EDGE_CONFIG)" java -jar target/pepperdock.jar serve

# Processor time, wall time and memory of ten starts, with the class archive and without, in turn (docs/starting.md).
# A further command to measure beside them: make bench-start OTHER='java -jar earlier.jar serve'
PLAIN = java -Xms24m -Xmx56m -Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -jar target/pepperdock.jar serve
bench-start: build
	java tools/StartBench.java 10 'sh deploy/start serve' '$(PLAIN)' $(if $(OTHER),'$(OTHER)')

clean:
	$(MVN) -q clean
