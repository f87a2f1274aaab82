package pepperdock.faultinjection.overload;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

/** What a client that sends at full speed writes again and again. */
public enum FloodMessage {
    /** Sound heads of very many short fields with names of their own, of an unknown path. */
    MANY_FIELDS {
        @Override
        String text(SplittableRandom random) {
            StringBuilder head = new StringBuilder("GET /other HTTP/1.1\r\n");
            for (int i = 0; head.length() < MAX_HEAD_BYTES; i++) {
                head.append(Integer.toString(i, Character.MAX_RADIX)).append(":\r\n");
            }
            return head.append("\r\n").toString();
        }
    },
    /** Heads in which one field is repeated very many times. */
    REPEATED_FIELD {
        @Override
        String text(SplittableRandom random) {
            return "GET /other HTTP/1.1\r\n" + "a:\r\n".repeat(MAX_HEAD_BYTES / 4) + "\r\n";
        }
    },
    /** Queries with padded fields. */
    PADDED_FIELDS {
        @Override
        String text(SplittableRandom random) {
            StringBuilder fields = new StringBuilder();
            for (int i = 0; i < PADDED_FIELDS_COUNT; i++) {
                fields.append("X-Pad-")
                        .append(i)
                        .append(':')
                        .append(" ".repeat(PADDING))
                        .append("v\r\n");
            }
            return query(random, "payout-report", fields.toString(), BODY);
        }
    },
    /** Readiness checks. */
    READINESS {
        @Override
        String text(SplittableRandom random) {
            return "GET /-/ready HTTP/1.1\r\n\r\n";
        }
    },
    /** Queries of classes that do not exist, each with another name. */
    NEW_CLASS_NAMES {
        @Override
        String text(SplittableRandom random) {
            return query(random, "class-" + random.nextLong(), "", BODY);
        }
    },
    /** Queries whose body is no JSON. */
    MALFORMED_BODY {
        @Override
        String text(SplittableRandom random) {
            return query(random, "payout-report", "", "{\"ranges\":[" + "[".repeat(300));
        }
    },
    /** Sound queries, each with an id of its own. */
    QUERIES {
        @Override
        String text(SplittableRandom random) {
            return query(random, "payout-report", "", BODY);
        }
    },
    /** Queries with fields of new names in each. */
    NEW_FIELD_NAMES {
        @Override
        String text(SplittableRandom random) {
            StringBuilder fields = new StringBuilder();
            for (int i = 0; i < NEW_FIELDS_COUNT; i++) {
                fields.append("X-")
                        .append(Long.toString(random.nextLong(), Character.MAX_RADIX))
                        .append(": v\r\n");
            }
            return query(random, "payout-report", fields.toString().replace("X--", "X-"), BODY);
        }
    },
    /** Queries whose body comes in chunks of one byte. */
    TINY_CHUNKS {
        @Override
        String text(SplittableRandom random) {
            StringBuilder body = new StringBuilder();
            BODY.chars().forEach(c -> body.append("1\r\n").append((char) c).append("\r\n"));
            return head(random, "payout-report") + "Transfer-Encoding: chunked\r\n\r\n" + body + "0\r\n\r\n";
        }
    },
    /** Bytes that are no request. */
    NOISE {
        @Override
        String text(SplittableRandom random) {
            return Long.toString(random.nextLong(), Character.MAX_RADIX) + "\r\n\r\n";
        }
    };

    /** Just below the longest head that is accepted. */
    private static final int MAX_HEAD_BYTES = 16_000;

    private static final int PADDED_FIELDS_COUNT = 8;
    private static final int PADDING = 1800;
    private static final int NEW_FIELDS_COUNT = 40;
    private static final int TIMEOUT_MS = 1000;
    private static final String BODY =
            "{\"ranges\":[{\"range\":0,\"portion\":0.5},{\"range\":5,\"portion\":0.5}]," + "\"predicate\":\"p\"}";

    /** Returns the next message. */
    abstract String text(SplittableRandom random);

    /** Returns the bytes of the next message. */
    final byte[] bytes(SplittableRandom random) {
        return text(random).getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String head(SplittableRandom random, String className) {
        return "POST /api HTTP/1.1\r\nRequest-Id: f" + Long.toHexString(random.nextLong()) + "\r\nRequest-Class: "
                + className + "\r\nRequest-Timeout-Ms: " + TIMEOUT_MS + "\r\n";
    }

    private static String query(SplittableRandom random, String className, String fields, String body) {
        return head(random, className) + fields + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
