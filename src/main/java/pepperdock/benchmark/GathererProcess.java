package pepperdock.benchmark;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs a gatherer with a configuration file in its own process, started through {@link InstrumentedMain}. */
final class GathererProcess implements AutoCloseable {

    private static final long STOP_TIMEOUT_S = 20;

    private final Process process;
    private final BufferedReader out;
    private final Writer in;
    private final InetSocketAddress address;

    /**
     * Starts the process and returns when the gatherer is ready. Its configuration file and log are written to the
     * folder; {@code flags} are passed to its JVM.
     */
    GathererProcess(Deployment deployment, int block, Path folder, List<String> flags) throws IOException {
        address = new InetSocketAddress(Deployment.gathererAddress(block), Deployment.gathererPort());
        Path config = folder.resolve("config.json");
        Files.writeString(config, deployment.config(block).toString());
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(flags);
        command.addAll(List.of(
                "-cp",
                System.getProperty("java.class.path"),
                InstrumentedMain.class.getName(),
                "pepperdock.Main",
                "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(k -> k.startsWith("EDGE_"));
        builder.environment().put("EDGE_CONFIG", config.toString());
        process = builder.redirectError(
                        ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()))
                .start();
        out = process.inputReader(StandardCharsets.UTF_8);
        in = process.outputWriter(StandardCharsets.UTF_8);
        try {
            awaitReady();
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    private void awaitReady() throws IOException {
        while (!"ready".equals(eventType(readJson()))) {
            // Skips the events before "ready".
        }
    }

    private static String eventType(JsonObject event) {
        return event.has("what") ? event.get("what").getAsString() : null;
    }

    private JsonObject readJson() throws IOException {
        String line = out.readLine();
        if (line == null) {
            throw new IOException("the gatherer process has ended; see its log");
        }
        return JsonParser.parseString(line).getAsJsonObject();
    }

    InetSocketAddress address() {
        return address;
    }

    /** Sends a command of {@link InstrumentedMain} and returns its answer; skips events that come before the answer. */
    JsonObject sendCommand(String command) throws IOException {
        in.write(command + '\n');
        in.flush();
        JsonObject answer = readJson();
        while (answer.has("what")) {
            answer = readJson();
        }
        return answer;
    }

    @Override
    public void close() throws IOException {
        process.destroy();
        try {
            if (!process.waitFor(STOP_TIMEOUT_S, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
