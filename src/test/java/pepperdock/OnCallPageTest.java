package pepperdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Log lines that {@code docs/on-call.md} quotes exist in the program. Guards against a message that is reworded while the page
 * keeps the old words.
 */
class OnCallPageTest {

    private static final Path PAGE = Path.of("docs/on-call.md");
    private static final Path START_SCRIPT = Path.of("deploy/start");

    /** Comments and character literals, which are passed over, then text blocks and string literals. */
    private static final Pattern LITERAL = Pattern.compile(
            "//[^\\n]*|/\\*.*?\\*/|'(?:\\\\.|[^'\\\\])+'|\"\"\"(.*?)\"\"\"|\"((?:\\\\.|[^\"\\\\\\n])*)\"",
            Pattern.DOTALL);

    private static final Pattern QUOTED = Pattern.compile("`([^`]+)`");

    /** A value in a quoted line (an upper-case word, or dots), or the colon between a message and its cause. */
    private static final Pattern VARIABLE = Pattern.compile("\\b[A-Z]+\\b|\\.\\.\\.|: |=");

    /** Blanks and punctuation next to a value. */
    private static final Pattern EDGES = Pattern.compile("^[\\s,;]+|[\\s,;]+$");

    /** The prefix of messages that the I/O library logs by itself. */
    private static final String LIBRARY_MESSAGE = "XNIO";

    @Test
    void everyQuotedLineIsInTheSource() throws IOException {
        List<String> literals = literals();
        List<String> missing = new ArrayList<>();
        int lines = 0;
        for (String line : quotedLines()) {
            lines++;
            for (String part : VARIABLE.split(line)) {
                String fixed = EDGES.matcher(part).replaceAll("");
                if (!fixed.isBlank() && literals.stream().noneMatch(literal -> holds(literal, fixed))) {
                    missing.add(line + " -> " + fixed);
                }
            }
        }
        assertTrue(lines >= 40, "only " + lines + " quoted lines found in " + PAGE);
        assertEquals(List.of(), missing, "quoted in " + PAGE + ", but in no string of the source");
    }

    /** Returns what stands in backquotes in the first column of the page's table, without messages of libraries. */
    private static List<String> quotedLines() throws IOException {
        List<String> lines = new ArrayList<>();
        for (String row : Files.readAllLines(PAGE)) {
            if (row.startsWith("| `")) {
                Matcher quoted = QUOTED.matcher(row.substring(0, row.indexOf(" | ")));
                while (quoted.find()) {
                    if (!quoted.group(1).startsWith(LIBRARY_MESSAGE)) {
                        lines.add(quoted.group(1));
                    }
                }
            }
        }
        return lines;
    }

    private static boolean holds(String literal, String words) {
        return Pattern.compile("(?<!\\w)" + Pattern.quote(words) + "(?!\\w)")
                .matcher(literal)
                .find();
    }

    /** Returns the strings of the program, adjacent ones joined, and upper-case names also as they are logged. */
    private static List<String> literals() throws IOException {
        List<String> literals = new ArrayList<>(Files.readAllLines(START_SCRIPT));
        try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                addLiterals(Files.readString(file), literals);
            }
        }
        return literals;
    }

    private static void addLiterals(String source, List<String> literals) {
        String previous = "";
        int previousEnd = -1;
        Matcher token = LITERAL.matcher(source);
        while (token.find()) {
            String text = token.group(2) != null ? token.group(2) : token.group(1);
            if (text == null) {
                continue;
            }
            boolean joined = previousEnd >= 0
                    && source.substring(previousEnd, token.start()).strip().equals("+");
            previous = (joined ? previous : "") + text;
            previousEnd = token.end();
            literals.add(previous.replace("''", "'").replace("\\\"", "\""));
            literals.add(text.toLowerCase(Locale.ROOT).replace('_', ' '));
        }
    }
}
