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
        for (Event e : History.read(history)) {
            if (e.ofRig() && !e.what().equals("traffic") && !e.what().equals("late")) {
                lines.add(words(e));
            } else if (!e.ofRig()) {
                counts.merge(e.what(), 1, Integer::sum);
            }
        }
        lines.add("events: " + counts);
        lines.add(String.format(Locale.ROOT, "the machine was late by %.3f s in all", outcome.lateS()));
        lines.addAll(outcome.metrics());
        outcome.findings().forEach(f -> lines.add("FOUND " + f));
        return lines;
    }

    private static String words(Event e) {
        StringBuilder words = new StringBuilder(String.format(Locale.ROOT, "%9.3f  %s", e.at(), e.what()));
        e.keys().entrySet().forEach(k -> {
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
            for (Event e : events) {
                if (e.ofRig()) {
                    ofRig(e);
                } else {
                    ofMember(e);
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

        private void ofMember(Event e) {
            if (!UNMARKED.contains(e.what()) && marks.size() < MARKS_MOST) {
                marks.add(mark(e, e.who()));
            }
            if (e.what().equals("ready") && "starting".equals(now.get(e.who()))) {
                turn(e.who(), "up", e.at());
            }
        }

        private void ofRig(Event e) {
            switch (e.what()) {
                case "script" ->
                    List.of(e.members()).forEach(member -> {
                        members.add(member);
                        since.put(member, e.at());
                        now.put(member, "down");
                    });
                case "start" -> turnAll(e, "starting");
                case "stop" -> turnAll(e, "stopped");
                case "cont" -> turnAll(e, "up");
                case "exit" -> turn(e.text("member"), "down", e.at());
                case "fault on" -> faults.put(e.whole("number"), e);
                case "fault off" -> fault(faults.remove(e.whole("number")), e.at());
                case "reset", "late", "reached", "not reached" -> marks.add(mark(e, "faults"));
                default -> {}
            }
        }

        private void turnAll(Event e, String next) {
            for (String member : e.members()) {
                turn(member, next, e.at());
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

    private static JsonObject mark(Event e, String row) {
        JsonObject mark = new JsonObject();
        mark.addProperty("row", row);
        mark.addProperty("at", e.at());
        mark.addProperty("what", e.what());
        mark.addProperty("words", words(e));
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
