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

/** A gatherer in a process of its own, by its configuration file, with {@link Observed} beside it. */
final class GathererProcess implements AutoCloseable {

    private static final long END_S = 20;

    private final Process process;
    private final BufferedReader out;
    private final Writer in;
    private final InetSocketAddress address;

    /** Starts it and returns when it is ready; its file and log go to the folder, {@code flags} to its JVM. */
    GathererProcess(Deployment deployment, int block, Path folder, List<String> flags) throws IOException {
        address = new InetSocketAddress(Deployment.gathererAddress(block), Deployment.gathererPort());
        Path config = folder.resolve("config.json");
        Files.writeString(config, deployment.config(block).toString());
        List<String> words = new ArrayList<>();
        words.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        words.addAll(flags);
        words.addAll(List.of(
                "-cp", System.getProperty("java.class.path"), Observed.class.getName(), "pepperdock.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(words);
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
        while (!"ready".equals(what(line()))) {
            // Other events come before it.
        }
    }

    private static String what(JsonObject event) {
        return event.has("what") ? event.get("what").getAsString() : null;
    }

    private JsonObject line() throws IOException {
        String line = out.readLine();
        if (line == null) {
            throw new IOException("the gatherer has ended; see its log");
        }
        return JsonParser.parseString(line).getAsJsonObject();
    }

    InetSocketAddress address() {
        return address;
    }

    /** One of {@link Observed}'s words, and what it answers. */
    JsonObject ask(String word) throws IOException {
        in.write(word + '\n');
        in.flush();
        JsonObject answer = line();
        while (answer.has("what")) {
            answer = line();
        }
        return answer;
    }

    @Override
    public void close() throws IOException {
        process.destroy();
        try {
            if (!process.waitFor(END_S, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
