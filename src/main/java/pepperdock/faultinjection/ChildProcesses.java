package pepperdock.faultinjection;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The processes of the members, each with a folder of its own: configuration, log, and {@code state}, which is deleted
 * where a fault empties the folder. A thread for each process reads the events from its standard output and writes them
 * to the history. Processes are ended by their process ids, at the latest by {@link ChildProcessGuard} when the rig
 * itself has ended.
 */
final class ChildProcesses implements AutoCloseable {

    private static final int MAX_STARTS = 5000;
    private static final long EXIT_TIMEOUT_S = 30;
    private static final int FIRST_PORT = 7300;
    private static final Pattern PLACEHOLDER =
            Pattern.compile("\\{(name|number|host_of|host|zone|machine|folder|port_of|port)(?::([^{}]*))?}");

    private static final class Child {
        private Process process;
        private Thread reader;
        /** Whether it was sent SIGKILL or SIGTERM. */
        private boolean ending;
        /** Start time by the clock of the history. */
        private double startedAt;
        /** Number of times that its ports were changed. */
        private int ports;
    }

    private final Script script;
    private final int block;
    private final Path folder;
    private final List<String> command;
    private final boolean injectDiskFaults;
    private final History history;
    private final Relay relay;
    private final ChildProcessGuard guard = new ChildProcessGuard();
    private final Map<String, Child> children = new LinkedHashMap<>();
    private int starts;
    private volatile boolean closing;

    /** {@code injectDiskFaults}: whether the members run on a {@link FaultyDisk}. */
    ChildProcesses(
            Script script,
            int block,
            Path folder,
            List<String> command,
            boolean injectDiskFaults,
            History history,
            Relay relay)
            throws IOException {
        this.injectDiskFaults = injectDiskFaults;
        this.script = script;
        this.block = block;
        this.folder = folder;
        this.command = command;
        this.history = history;
        this.relay = relay;
        script.names().forEach(n -> children.put(n, new Child()));
    }

    /**
     * Starts members, waiting for the end of those that were told to end; a member that still runs is left as it is.
     */
    void start(List<String> names, boolean emptyFolder, boolean newPorts) throws IOException, InterruptedException {
        List<String> toStart = new ArrayList<>();
        for (String name : names) {
            Child child = children.get(name);
            if (isUp(name) && (!child.ending || !child.process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS))) {
                history.addRigEvent("still there", "member", name);
                continue;
            }
            if (child.reader != null) {
                child.reader.join(EXIT_TIMEOUT_S * 1000);
            }
            if (newPorts) {
                child.ports++;
            }
            if (emptyFolder) {
                delete(folder.resolve(name).resolve(FaultyDisk.STATE_FOLDER));
            }
            List<Relay.RelayPort> ports = new ArrayList<>();
            for (Script.Port port : script.ports()) {
                if (port.streams()) {
                    ports.add(new Relay.RelayPort(port(name, port.name()), true));
                }
                if (port.datagrams()) {
                    ports.add(new Relay.RelayPort(port(name, port.name()), false));
                }
            }
            relay.openLinks(name, script.names(), ports);
            toStart.add(name);
        }
        if (toStart.isEmpty()) {
            return;
        }
        history.addRigEvent(
                "start",
                "members",
                String.join(",", toStart),
                "folder",
                emptyFolder ? "empty" : "kept",
                "ports",
                newPorts ? "new" : "kept");
        for (String name : toStart) {
            launch(name, children.get(name));
        }
    }

    private void launch(String name, Child child) throws IOException {
        if (++starts > MAX_STARTS) {
            throw new IOException("more than " + MAX_STARTS + " starts of processes");
        }
        Path memberFolder = folder.resolve(name);
        Files.createDirectories(memberFolder.resolve(FaultyDisk.STATE_FOLDER));
        JsonObject config = fillPlaceholders(script.configOf(name), placeholder -> placeholderValue(name, placeholder))
                .getAsJsonObject();
        JsonObject reach = new JsonObject();
        int from = Relay.number(name);
        for (String other : script.names()) {
            if (!other.equals(name)) {
                int to = Relay.number(other);
                reach.addProperty(Relay.host(block, to), Relay.host(block, from, to));
            }
        }
        config.add("reach", reach);
        config.addProperty("events", true);
        Files.writeString(memberFolder.resolve("config.json"), config.toString());
        List<String> commandLine = injectDiskFaults ? FaultyDisk.commandWithFaults(command, memberFolder) : command;
        ProcessBuilder builder = new ProcessBuilder(commandLine);
        builder.environment().keySet().removeIf(k -> k.startsWith("EDGE_"));
        builder.environment()
                .put("EDGE_CONFIG", memberFolder.resolve("config.json").toString());
        Process process = builder.redirectError(ProcessBuilder.Redirect.appendTo(
                        memberFolder.resolve("log").toFile()))
                .start();
        guard.add(process.pid());
        child.process = process;
        child.ending = false;
        child.startedAt = history.now();
        child.reader = new Thread(() -> read(name, process), "output of " + name);
        child.reader.setDaemon(true);
        child.reader.start();
    }

    private void read(String name, Process process) {
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                history.addMemberOutput(name, line);
            }
            int status = process.waitFor();
            guard.gone(process.pid());
            history.addRigEvent("exit", "member", name, "status", status);
        } catch (IOException | RuntimeException e) {
            if (!closing) {
                history.addRigEvent("unread", "member", name, "why", e);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a signal to those of these members that run. */
    void signal(FaultSchedule.ProcessSignal signal, List<String> names) throws IOException {
        List<String> up = names.stream().filter(this::isUp).toList();
        if (!up.isEmpty()) {
            String signalName = signal.name();
            history.addRigEvent(signalName.toLowerCase(java.util.Locale.ROOT), "members", String.join(",", up));
            if (signal == FaultSchedule.ProcessSignal.KILL || signal == FaultSchedule.ProcessSignal.TERM) {
                up.forEach(n -> children.get(n).ending = true);
            }
            guard.signal(
                    signalName,
                    up.stream().map(n -> children.get(n).process.pid()).toList());
        }
    }

    /** Sets the fault of the disks of these members. */
    void setDiskFault(List<String> names, String diskFault) throws IOException {
        history.addRigEvent("disk", "members", String.join(",", names), "is", diskFault);
        for (String name : names) {
            FaultyDisk.setFault(Files.createDirectories(folder.resolve(name)), diskFault);
        }
    }

    boolean isUp(String name) {
        Process process = children.get(name).process;
        return process != null && process.isAlive();
    }

    /** Records how much processor time each running process has used since its start. */
    void recordProcessorTimes() {
        children.forEach((name, child) -> {
            if (isUp(name)) {
                ProcessHandle.Info info = child.process.info();
                if (info.totalCpuDuration().isPresent()) {
                    history.addRigEvent(
                            "processor",
                            "member",
                            name,
                            "used_s",
                            info.totalCpuDuration().get().toMillis() / 1e3,
                            "up_s",
                            Math.round((history.now() - child.startedAt) * 1e3) / 1e3);
                }
            }
        });
    }

    /**
     * Returns a port of a member by its place in the script; each change of ports adds the number of ports in the
     * script.
     */
    private int port(String member, String name) {
        for (int i = 0; i < script.ports().size(); i++) {
            if (script.ports().get(i).name().equals(name)) {
                return FIRST_PORT
                        + i
                        + children.get(member).ports * script.ports().size();
            }
        }
        throw new IllegalArgumentException("{port:" + name + "} is not a port of the script");
    }

    private String placeholderValue(String name, Matcher placeholder) {
        int number = Relay.number(name);
        String argument = placeholder.group(2);
        return switch (placeholder.group(1)) {
            case "name" -> name;
            case "number" -> String.valueOf(number);
            case "host" -> Relay.host(block, number);
            case "host_of" -> Relay.host(block, Relay.number(argument));
            case "zone" -> script.zones().get((number - 1) % script.zones().size());
            case "machine" -> "m" + ((number - 1) % script.machines() + 1);
            case "folder" ->
                folder.resolve(name).resolve(FaultyDisk.STATE_FOLDER).toString();
            case "port" -> String.valueOf(port(name, argument));
            case "port_of" ->
                String.valueOf(port(
                        argument.substring(0, argument.indexOf('.')), argument.substring(argument.indexOf('.') + 1)));
            default -> throw new IllegalArgumentException(placeholder.group());
        };
    }

    /** Returns a configuration with the placeholders in its texts replaced; a text stays a text. */
    static JsonElement fillPlaceholders(
            JsonElement element, java.util.function.Function<Matcher, String> placeholderValue) {
        if (element.isJsonObject()) {
            JsonObject all = new JsonObject();
            element.getAsJsonObject()
                    .entrySet()
                    .forEach(x -> all.add(x.getKey(), fillPlaceholders(x.getValue(), placeholderValue)));
            return all;
        }
        if (element.isJsonArray()) {
            JsonArray all = new JsonArray();
            element.getAsJsonArray().forEach(x -> all.add(fillPlaceholders(x, placeholderValue)));
            return all;
        }
        if (element.isJsonPrimitive() && element.getAsJsonPrimitive().isString()) {
            UnaryOperator<String> fill = s -> PLACEHOLDER.matcher(s).replaceAll(r -> {
                Matcher m = PLACEHOLDER.matcher(r.group());
                m.matches();
                return Matcher.quoteReplacement(placeholderValue.apply(m));
            });
            return new JsonPrimitive(fill.apply(element.getAsString()));
        }
        return element;
    }

    private static void delete(Path folder) throws IOException {
        if (!Files.exists(folder)) {
            return;
        }
        try (Stream<Path> all = Files.walk(folder)) {
            all.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
    }

    @Override
    public void close() throws IOException {
        killAll();
    }

    /** Kills all remaining processes and waits for their ends; a second call has no effect. */
    void killAll() throws IOException {
        closing = true;
        for (Child child : children.values()) {
            if (child.process != null) {
                child.process.destroyForcibly();
            }
        }
        try {
            for (Child child : children.values()) {
                if (child.process != null) {
                    child.process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS);
                    child.reader.join(EXIT_TIMEOUT_S * 1000);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        guard.close();
    }
}
