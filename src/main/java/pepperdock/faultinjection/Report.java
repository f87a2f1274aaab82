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
 * A run in words, and as one page with a timeline by member. The page holds all that it needs, the plot library included, and
 * asks nothing of any network.
 */
public final class Report {

    private static final String PLOTS = "META-INF/resources/webjars/echarts/5.3.1/dist/echarts.min.js";
    private static final int MARKS_MOST = 20_000;
    /** The program's events that would only fill a page. */
    private static final List<String> UNMARKED = List.of("count");

    private Report() {}

    /** The run as lines of text: what was done, how many events of each kind came, the metrics and the findings. */
    public static List<String> text(Path history, Outcome outcome) throws IOException {
        List<String> lines = new ArrayList<>();
        Map<String, Integer> counts = new TreeMap<>();
        for (Event event : History.read(history)) {
            if (event.ofRig()
                    && !event.what().equals("traffic")
                    && !event.what().equals("late")) {
                lines.add(words(event));
            } else if (!event.ofRig()) {
                counts.merge(event.what(), 1, Integer::sum);
            }
        }
        lines.add("events: " + counts);
        lines.add(String.format(Locale.ROOT, "the machine was late by %.3f s in all", outcome.lateS()));
        lines.addAll(outcome.metrics());
        outcome.findings().forEach(f -> lines.add("FOUND " + f));
        return lines;
    }

    private static String words(Event event) {
        StringBuilder words = new StringBuilder(String.format(Locale.ROOT, "%9.3f  %s", event.at(), event.what()));
        event.keys().entrySet().forEach(k -> {
            if (!List.of("at", "who", "what").contains(k.getKey())) {
                String value = k.getValue().getAsString();
                words.append("  ")
                        .append(k.getKey())
                        .append('=')
                        .append(value.length() > 100 ? value.substring(0, 100) + "..." : value);
            }
        });
        return words.toString();
    }

    /** The run as one HTML page with a timeline of each member. */
    public static String html(Path history, Outcome outcome) throws IOException {
        JsonObject data = new Timelines().data(History.read(history));
        data.addProperty("verdict", outcome.verdict());
        JsonArray words = new JsonArray();
        outcome.findings().forEach(words::add);
        outcome.metrics().forEach(words::add);
        data.add("words", words);
        return resource("/pepperdock/faultinjection/report.html")
                .replace("/*PLOTS*/", resource('/' + PLOTS))
                .replace("/*DATA*/null", data.toString().replace("</", "<\\/"));
    }

    /** Collects the bars and marks of the page: a row for each member, and one for the faults. */
    private static final class Timelines {
        private final JsonArray members = new JsonArray();
        private final JsonArray bars = new JsonArray();
        private final JsonArray marks = new JsonArray();
        private final Map<String, Double> since = new TreeMap<>();
        private final Map<String, String> now = new TreeMap<>();
        private final Map<Long, Event> faults = new TreeMap<>();

        JsonObject data(List<Event> events) {
            double end = events.isEmpty() ? 0 : events.get(events.size() - 1).at();
            for (Event event : events) {
                if (event.ofRig()) {
                    ofRig(event);
                } else {
                    ofMember(event);
                }
            }
            faults.values().forEach(on -> fault(on, end));
            now.forEach((member, state) -> bars.add(bar(member, state, since.get(member), end, "")));
            members.add("faults");
            JsonObject data = new JsonObject();
            data.add("members", members);
            data.add("bars", bars);
            data.add("marks", marks);
            return data;
        }

        private void ofMember(Event event) {
            if (!UNMARKED.contains(event.what()) && marks.size() < MARKS_MOST) {
                marks.add(mark(event, event.who()));
            }
            if (event.what().equals("ready") && "starting".equals(now.get(event.who()))) {
                turn(event.who(), "up", event.at());
            }
        }

        private void ofRig(Event event) {
            switch (event.what()) {
                case "script" ->
                    List.of(event.members()).forEach(member -> {
                        members.add(member);
                        since.put(member, event.at());
                        now.put(member, "down");
                    });
                case "start" -> turnAll(event, "starting");
                case "stop" -> turnAll(event, "stopped");
                case "cont" -> turnAll(event, "up");
                case "exit" -> turn(event.text("member"), "down", event.at());
                case "fault on" -> faults.put(event.whole("number"), event);
                case "fault off" -> fault(faults.remove(event.whole("number")), event.at());
                case "reset", "late", "reached", "not reached" -> marks.add(mark(event, "faults"));
                default -> {}
            }
        }

        private void turnAll(Event event, String next) {
            for (String member : event.members()) {
                turn(member, next, event.at());
            }
        }

        private void turn(String member, String next, double at) {
            bars.add(bar(member, now.getOrDefault(member, "down"), since.getOrDefault(member, 0.0), at, ""));
            since.put(member, at);
            now.put(member, next);
        }

        private void fault(Event on, double to) {
            if (on != null) {
                bars.add(bar("faults", on.text("kind"), on.at(), to, words(on)));
            }
        }
    }

    private static JsonObject bar(String row, String state, double from, double to, String words) {
        JsonObject bar = new JsonObject();
        bar.addProperty("row", row);
        bar.addProperty("state", state);
        bar.addProperty("from", from);
        bar.addProperty("to", to);
        bar.addProperty("words", words);
        return bar;
    }

    private static JsonObject mark(Event event, String row) {
        JsonObject mark = new JsonObject();
        mark.addProperty("row", row);
        mark.addProperty("at", event.at());
        mark.addProperty("what", event.what());
        mark.addProperty("words", words(event));
        return mark;
    }

    private static String resource(String name) throws IOException {
        try (InputStream in = Report.class.getResourceAsStream(name)) {
            if (in == null) {
                throw new IOException("no " + name + " in the jar");
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
