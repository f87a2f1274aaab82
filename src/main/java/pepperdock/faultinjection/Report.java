package pepperdock.faultinjection;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Renders a run as text, and as one HTML page with a timeline for each member. The page contains all that it needs, the
 * plot library included, and makes no network requests.
 */
public final class Report {

    private static final String PLOT_LIBRARY = "META-INF/resources/webjars/echarts/5.3.1/dist/echarts.min.js";
    private static final int MAX_MARKS = 20_000;
    /** Events of the program that are too frequent to be marked on the page. */
    private static final List<String> EVENTS_WITHOUT_MARK = List.of("count");

    private Report() {}

    /**
     * Returns the run as lines of text: the events of the rig, the number of events of each kind, the metrics and the
     * findings.
     */
    public static List<String> text(Path history, Outcome outcome) throws IOException {
        List<String> lines = new ArrayList<>();
        Map<String, Integer> counts = new TreeMap<>();
        for (Event event : History.read(history)) {
            if (event.isRigEvent()
                    && !event.what().equals("traffic")
                    && !event.what().equals("late")) {
                lines.add(describe(event));
            } else if (!event.isRigEvent()) {
                counts.merge(event.what(), 1, Integer::sum);
            }
        }
        lines.add("events: " + counts);
        lines.add(String.format(Locale.ROOT, "the machine was late by %.3f s in total", outcome.lateS()));
        lines.addAll(outcome.metrics());
        outcome.findings().forEach(f -> lines.add("FOUND " + f));
        return lines;
    }

    private static String describe(Event event) {
        StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%9.3f  %s", event.at(), event.what()));
        event.keys().entrySet().forEach(k -> {
            if (!List.of("at", "who", "what").contains(k.getKey())) {
                String value = k.getValue().getAsString();
                line.append("  ")
                        .append(k.getKey())
                        .append('=')
                        .append(value.length() > 100 ? value.substring(0, 100) + "..." : value);
            }
        });
        return line.toString();
    }

    /** Returns the run as one HTML page with a timeline for each member. */
    public static String html(Path history, Outcome outcome) throws IOException {
        JsonObject data = new Timelines().data(History.read(history));
        data.addProperty("verdict", outcome.verdict());
        JsonArray words = new JsonArray();
        outcome.findings().forEach(words::add);
        outcome.metrics().forEach(words::add);
        data.add("words", words);
        return resource("/pepperdock/faultinjection/report.html")
                .replace("/*PLOTS*/", resource('/' + PLOT_LIBRARY))
                .replace("/*DATA*/null", data.toString().replace("</", "<\\/"));
    }

    /** Collects the bars and marks of the page: a row for each member, and one for the faults. */
    private static final class Timelines {
        private final JsonArray members = new JsonArray();
        private final JsonArray bars = new JsonArray();
        private final JsonArray marks = new JsonArray();
        private final Map<String, Double> stateSince = new TreeMap<>();
        private final Map<String, String> states = new TreeMap<>();
        private final Map<Long, Event> activeFaults = new TreeMap<>();

        JsonObject data(List<Event> events) {
            double end = events.isEmpty() ? 0 : events.get(events.size() - 1).at();
            for (Event event : events) {
                if (event.isRigEvent()) {
                    addRigEvent(event);
                } else {
                    addMemberEvent(event);
                }
            }
            activeFaults.values().forEach(on -> addFaultBar(on, end));
            states.forEach((member, state) -> bars.add(bar(member, state, stateSince.get(member), end, "")));
            members.add("faults");
            JsonObject data = new JsonObject();
            data.add("members", members);
            data.add("bars", bars);
            data.add("marks", marks);
            return data;
        }

        private void addMemberEvent(Event event) {
            if (!EVENTS_WITHOUT_MARK.contains(event.what()) && marks.size() < MAX_MARKS) {
                marks.add(mark(event, event.who()));
            }
            if (event.what().equals("ready") && "starting".equals(states.get(event.who()))) {
                setState(event.who(), "up", event.at());
            }
        }

        private void addRigEvent(Event event) {
            switch (event.what()) {
                case "script" ->
                    List.of(event.members()).forEach(member -> {
                        members.add(member);
                        stateSince.put(member, event.at());
                        states.put(member, "down");
                    });
                case "start" -> setStates(event, "starting");
                case "stop" -> setStates(event, "stopped");
                case "cont" -> setStates(event, "up");
                case "exit" -> setState(event.text("member"), "down", event.at());
                case "fault on" -> activeFaults.put(event.integer("number"), event);
                case "fault off" -> addFaultBar(activeFaults.remove(event.integer("number")), event.at());
                case "reset", "late", "reached", "not reached" -> marks.add(mark(event, "faults"));
                default -> {}
            }
        }

        private void setStates(Event event, String next) {
            for (String member : event.members()) {
                setState(member, next, event.at());
            }
        }

        private void setState(String member, String next, double at) {
            bars.add(bar(member, states.getOrDefault(member, "down"), stateSince.getOrDefault(member, 0.0), at, ""));
            stateSince.put(member, at);
            states.put(member, next);
        }

        private void addFaultBar(Event begin, double to) {
            if (begin != null) {
                bars.add(bar("faults", begin.text("kind"), begin.at(), to, describe(begin)));
            }
        }
    }

    private static JsonObject bar(String row, String state, double from, double to, String description) {
        JsonObject bar = new JsonObject();
        bar.addProperty("row", row);
        bar.addProperty("state", state);
        bar.addProperty("from", from);
        bar.addProperty("to", to);
        bar.addProperty("words", description);
        return bar;
    }

    private static JsonObject mark(Event event, String row) {
        JsonObject mark = new JsonObject();
        mark.addProperty("row", row);
        mark.addProperty("at", event.at());
        mark.addProperty("what", event.what());
        mark.addProperty("words", describe(event));
        return mark;
    }

    private static String resource(String name) throws IOException {
        try (InputStream in = Report.class.getResourceAsStream(name)) {
            if (in == null) {
                throw new IOException("resource " + name + " is missing in the jar");
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
