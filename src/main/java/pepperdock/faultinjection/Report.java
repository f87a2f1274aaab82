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

    public static String html(Path history, Outcome outcome) throws IOException {
        List<Event> events = History.read(history);
        JsonObject data = new JsonObject();
        JsonArray members = new JsonArray();
        JsonArray bars = new JsonArray();
        JsonArray marks = new JsonArray();
        Map<String, Double> since = new TreeMap<>();
        Map<String, String> now = new TreeMap<>();
        Map<Long, Event> faults = new TreeMap<>();
        double end = events.isEmpty() ? 0 : events.get(events.size() - 1).at();
        for (Event e : events) {
            if (!e.ofRig()) {
                if (!UNMARKED.contains(e.what()) && marks.size() < MARKS_MOST) {
                    marks.add(mark(e, e.who()));
                }
                if (e.what().equals("ready") && "starting".equals(now.get(e.who()))) {
                    turn(e.who(), "up", e.at(), since, now, bars);
                }
                continue;
            }
            switch (e.what()) {
                case "script" ->
                    List.of(e.members()).forEach(m -> {
                        members.add(m);
                        since.put(m, e.at());
                        now.put(m, "down");
                    });
                case "start" -> turns(e, "starting", since, now, bars);
                case "stop" -> turns(e, "stopped", since, now, bars);
                case "cont" -> turns(e, "up", since, now, bars);
                case "exit" -> turn(e.text("member"), "down", e.at(), since, now, bars);
                case "fault on" -> faults.put(e.whole("number"), e);
                case "fault off" -> fault(faults.remove(e.whole("number")), e.at(), bars);
                case "reset", "late", "reached", "not reached" -> marks.add(mark(e, "faults"));
                default -> {}
            }
        }
        faults.values().forEach(f -> fault(f, end, bars));
        now.forEach((m, state) -> bars.add(bar(m, state, since.get(m), end, "")));
        members.add("faults");
        data.add("members", members);
        data.add("bars", bars);
        data.add("marks", marks);
        data.addProperty("verdict", outcome.verdict());
        JsonArray words = new JsonArray();
        outcome.findings().forEach(words::add);
        outcome.metrics().forEach(words::add);
        data.add("words", words);
        return resource("/pepperdock/faultinjection/report.html")
                .replace("/*PLOTS*/", resource('/' + PLOTS))
                .replace("/*DATA*/null", data.toString().replace("</", "<\\/"));
    }

    private static void turns(
            Event e, String next, Map<String, Double> since, Map<String, String> now, JsonArray bars) {
        for (String m : e.members()) {
            turn(m, next, e.at(), since, now, bars);
        }
    }

    private static void turn(
            String member, String next, double at, Map<String, Double> since, Map<String, String> now, JsonArray bars) {
        bars.add(bar(member, now.getOrDefault(member, "down"), since.getOrDefault(member, 0.0), at, ""));
        since.put(member, at);
        now.put(member, next);
    }

    private static void fault(Event on, double to, JsonArray bars) {
        if (on != null) {
            bars.add(bar("faults", on.text("kind"), on.at(), to, words(on)));
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
