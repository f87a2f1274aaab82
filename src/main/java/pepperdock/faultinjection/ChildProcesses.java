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
import java.nio.file.StandardCopyOption;
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
 * The processes: each member in a folder of its own (its configuration, its log, and {@code state}, which is what a lost
 * folder loses). Its events are read from its standard output by a thread and written to the history. They are ended by their
 * own process ids, at the latest by {@link Guard} when the rig itself is gone.
 */
final class ChildProcesses implements AutoCloseable {

    private static final int STARTS_MOST = 5000;
    private static final long END_S = 30;
    private static final int FIRST_PORT = 7300;
    private static final Pattern HOLE =
            Pattern.compile("\\{(name|number|host_of|host|zone|machine|folder|port_of|port)(?::([^{}]*))?}");

    private static final class Child {
        private Process process;
        private Thread reader;
        /** Sent SIGKILL or SIGTERM. */
        private boolean ending;
        /** By the history's clock. */
        private double startedAt;
        /** How often its ports were changed. */
        private int ports;
    }

    private final Script script;
    private final int block;
    private final Path folder;
    private final List<String> command;
    private final boolean disks;
    private final History history;
    private final Relay relay;
    private final Guard guard = new Guard();
    private final Map<String, Child> children = new LinkedHashMap<>();
    private int starts;
    private volatile boolean closing;

    /** {@code disks}: whether the members' disks are to be hurt. */
    ChildProcesses(
            Script script, int block, Path folder, List<String> command, boolean disks, History history, Relay relay)
            throws IOException {
        this.disks = disks;
        this.script = script;
        this.block = block;
        this.folder = folder;
        this.command = command;
        this.history = history;
        this.relay = relay;
        script.names().forEach(n -> children.put(n, new Child()));
    }

    /** Starts members, after the ends of those that were sent one; a member that still runs is left as it is. */
    void start(List<String> names, boolean emptyFolder, boolean newPorts) throws IOException, InterruptedException {
        List<String> down = new ArrayList<>();
        for (String name : names) {
            Child c = children.get(name);
            if (up(name) && (!c.ending || !c.process.waitFor(END_S, TimeUnit.SECONDS))) {
                history.rig("still there", "member", name);
                continue;
            }
            if (c.reader != null) {
                c.reader.join(END_S * 1000);
            }
            if (newPorts) {
                c.ports++;
            }
            if (emptyFolder) {
                delete(folder.resolve(name).resolve(FaultyDisk.TOUCHED));
            }
            List<Relay.Laid> ports = new ArrayList<>();
            for (Script.Port p : script.ports()) {
                if (p.streams()) {
                    ports.add(new Relay.Laid(port(name, p.name()), true));
                }
                if (p.datagrams()) {
                    ports.add(new Relay.Laid(port(name, p.name()), false));
                }
            }
            relay.lay(name, script.names(), ports);
            down.add(name);
        }
        if (down.isEmpty()) {
            return;
        }
        history.rig(
                "start",
                "members",
                String.join(",", down),
                "folder",
                emptyFolder ? "empty" : "kept",
                "ports",
                newPorts ? "new" : "kept");
        for (String name : down) {
            launch(name, children.get(name));
        }
    }

    private void launch(String name, Child c) throws IOException {
        if (++starts > STARTS_MOST) {
            throw new IOException("more than " + STARTS_MOST + " starts");
        }
        Path own = folder.resolve(name);
        Files.createDirectories(own.resolve(FaultyDisk.TOUCHED));
        JsonObject config =
                filled(script.configOf(name), hole -> filling(name, hole)).getAsJsonObject();
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
        Files.writeString(own.resolve("config.json"), config.toString());
        List<String> words = new ArrayList<>(command);
        if (disks) {
            words.addAll(
                    1,
                    List.of(
                            "-Djava.nio.file.spi.DefaultFileSystemProvider=" + FaultyDisk.class.getName(),
                            "-D" + FaultyDisk.FOLDER + '=' + own));
        }
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.environment().keySet().removeIf(k -> k.startsWith("EDGE_"));
        builder.environment().put("EDGE_CONFIG", own.resolve("config.json").toString());
        Process p = builder.redirectError(
                        ProcessBuilder.Redirect.appendTo(own.resolve("log").toFile()))
                .start();
        guard.add(p.pid());
        c.process = p;
        c.ending = false;
        c.startedAt = history.now();
        c.reader = new Thread(() -> read(name, p), "output of " + name);
        c.reader.setDaemon(true);
        c.reader.start();
    }

    private void read(String name, Process p) {
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(p.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                history.line(name, line);
            }
            int status = p.waitFor();
            guard.gone(p.pid());
            history.rig("exit", "member", name, "status", status);
        } catch (IOException | RuntimeException e) {
            if (!closing) {
                history.rig("unread", "member", name, "why", e);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a signal to those of them that run. */
    void signal(Timetable.Sent signal, List<String> names) throws IOException {
        List<String> up = names.stream().filter(this::up).toList();
        if (!up.isEmpty()) {
            String word = signal.name();
            history.rig(word.toLowerCase(java.util.Locale.ROOT), "members", String.join(",", up));
            if (signal == Timetable.Sent.KILL || signal == Timetable.Sent.TERM) {
                up.forEach(n -> children.get(n).ending = true);
            }
            guard.signal(
                    word, up.stream().map(n -> children.get(n).process.pid()).toList());
        }
    }

    /** Says what is with these members' disks from now on. */
    void disk(List<String> names, String is) throws IOException {
        history.rig("disk", "members", String.join(",", names), "is", is);
        for (String name : names) {
            Path own = Files.createDirectories(folder.resolve(name));
            Files.writeString(own.resolve("disk.new"), is);
            Files.move(own.resolve("disk.new"), own.resolve(FaultyDisk.SAYS), StandardCopyOption.ATOMIC_MOVE);
        }
    }

    boolean up(String name) {
        Process p = children.get(name).process;
        return p != null && p.isAlive();
    }

    /** Writes down how much processor time each has used since its start. */
    void processorTimes() {
        children.forEach((name, c) -> {
            if (up(name)) {
                ProcessHandle.Info info = c.process.info();
                if (info.totalCpuDuration().isPresent()) {
                    history.rig(
                            "processor",
                            "member",
                            name,
                            "used_s",
                            info.totalCpuDuration().get().toMillis() / 1e3,
                            "up_s",
                            Math.round((history.now() - c.startedAt) * 1e3) / 1e3);
                }
            }
        });
    }

    /** A port of a member: by its place in the script, moved on by as many as there are whenever it takes new ones. */
    private int port(String member, String name) {
        for (int i = 0; i < script.ports().size(); i++) {
            if (script.ports().get(i).name().equals(name)) {
                return FIRST_PORT
                        + i
                        + children.get(member).ports * script.ports().size();
            }
        }
        throw new IllegalArgumentException("{port:" + name + "} is not among the ports");
    }

    private String filling(String name, Matcher hole) {
        int number = Relay.number(name);
        String of = hole.group(2);
        return switch (hole.group(1)) {
            case "name" -> name;
            case "number" -> String.valueOf(number);
            case "host" -> Relay.host(block, number);
            case "host_of" -> Relay.host(block, Relay.number(of));
            case "zone" -> script.zones().get((number - 1) % script.zones().size());
            case "machine" -> "m" + ((number - 1) % script.machines() + 1);
            case "folder" -> folder.resolve(name).resolve(FaultyDisk.TOUCHED).toString();
            case "port" -> String.valueOf(port(name, of));
            case "port_of" -> String.valueOf(port(of.substring(0, of.indexOf('.')), of.substring(of.indexOf('.') + 1)));
            default -> throw new IllegalArgumentException(hole.group());
        };
    }

    /** A configuration with the holes in its texts filled; a text that is one number hole becomes that number. */
    static JsonElement filled(JsonElement e, java.util.function.Function<Matcher, String> filling) {
        if (e.isJsonObject()) {
            JsonObject all = new JsonObject();
            e.getAsJsonObject().entrySet().forEach(x -> all.add(x.getKey(), filled(x.getValue(), filling)));
            return all;
        }
        if (e.isJsonArray()) {
            JsonArray all = new JsonArray();
            e.getAsJsonArray().forEach(x -> all.add(filled(x, filling)));
            return all;
        }
        if (e.isJsonPrimitive() && e.getAsJsonPrimitive().isString()) {
            UnaryOperator<String> fill = s -> HOLE.matcher(s).replaceAll(r -> {
                Matcher m = HOLE.matcher(r.group());
                m.matches();
                return Matcher.quoteReplacement(filling.apply(m));
            });
            return new JsonPrimitive(fill.apply(e.getAsString()));
        }
        return e;
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
        end();
    }

    /** Kills whatever is left, and waits for its end; a second call does nothing more. */
    void end() throws IOException {
        closing = true;
        for (Child c : children.values()) {
            if (c.process != null) {
                c.process.destroyForcibly();
            }
        }
        try {
            for (Child c : children.values()) {
                if (c.process != null) {
                    c.process.waitFor(END_S, TimeUnit.SECONDS);
                    c.reader.join(END_S * 1000);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        guard.close();
    }
}
