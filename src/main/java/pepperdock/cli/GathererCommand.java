package pepperdock.cli;

import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import pepperdock.config.ConfigException;

/** The command that starts a gatherer from the jar that runs now. Stateless. */
final class GathererCommand {

    private static final List<String> JVM_FLAGS =
            List.of("-Xmx56m", "-Xss512k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

    private GathererCommand() {}

    /** Returns the command that runs this jar as a gatherer, with the class archive beside it if there is one. */
    static List<String> ofThisJar() {
        try {
            Path jar = Path.of(Cli.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
            List<String> arguments = new ArrayList<>(List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString()));
            arguments.addAll(JVM_FLAGS);
            Path archive = jar.resolveSibling(jar.getFileName().toString().replace(".jar", ".jsa"));
            if (Files.isReadable(archive)) {
                arguments.addAll(List.of("-XX:SharedArchiveFile=" + archive, "-Xlog:disable"));
            }
            arguments.addAll(List.of("-jar", jar.toString(), "serve"));
            return arguments;
        } catch (URISyntaxException e) {
            throw new ConfigException("lab", "can't determine the path of the program's jar");
        }
    }
}
