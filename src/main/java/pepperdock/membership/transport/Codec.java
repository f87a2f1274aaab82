package pepperdock.membership.transport;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import pepperdock.membership.Card;
import pepperdock.membership.Item;
import pepperdock.membership.Links;
import pepperdock.membership.Message;
import pepperdock.membership.Message.Head;
import pepperdock.membership.Status;
import pepperdock.membership.Word;

/**
 * Messages as CBOR (RFC 8949): one array, the version and the kind first, then the head, then what the kind has. Strict: what
 * is not exactly a message of this version, down to names and addresses, is refused as a whole, whatever it is.
 */
final class Codec {

    /** Of the wire; a member that speaks another is refused, and counted. */
    static final int VERSION = 1;
    /** Entries of a list that a stream may bring, and of one in a datagram. */
    private static final int LIST_MOST = 100_000;

    private static final int PING = 1;
    private static final int ACK = 2;
    private static final int OTHER = 3;
    private static final int ASK = 4;
    private static final int TOLD = 5;
    private static final int DIGEST = 6;
    private static final int REPLY = 7;
    private static final int REST = 8;
    private static final int SUMMARY = 9;
    private static final int SLICES = 10;
    /** A digest of some slices; one of all has the kind that it had before there were slices. */
    private static final int PART_DIGEST = 11;

    private static final int JOIN = 12;
    private static final int WELCOME = 13;
    private static final int CARD = 1;
    private static final int LINKS = 2;
    private static final Pattern NAME = Pattern.compile(Card.NAME);
    private static final Pattern ADDRESS =
            Pattern.compile("([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[?[0-9A-Fa-f:.]{2,45}]?):[0-9]{1,5}");
    private static final CBORFactory CBOR = CBORFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(8)
                    .maxStringLength(256)
                    .maxNumberLength(32)
                    .build())
            .build();

    private Codec() {}

    /** Whether it can be announced to others. */
    static boolean address(String text) {
        return ADDRESS.matcher(text).matches();
    }

    // ---- Writing ------------------------------------------------------------

    static byte[] bytes(Message m) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        try (CBORGenerator g = CBOR.createGenerator(out)) {
            g.writeStartArray();
            g.writeNumber(VERSION);
            if (m instanceof Message.Ping p) {
                head(g, PING, p.head());
                who(g, p.to(), p.life());
                g.writeNumber(p.seq());
                items(g, p.gossip());
            } else if (m instanceof Message.Ack a) {
                head(g, ACK, a.head());
                g.writeNumber(a.seq());
                items(g, a.gossip());
            } else if (m instanceof Message.Other o) {
                head(g, OTHER, o.head());
                who(g, o.wanted(), o.life());
            } else if (m instanceof Message.Ask a) {
                head(g, ASK, a.head());
                who(g, a.subject(), a.life());
                g.writeString(a.address());
                g.writeNumber(a.seq());
            } else if (m instanceof Message.Told t) {
                head(g, TOLD, t.head());
                who(g, t.subject(), t.life());
                g.writeNumber(t.seq());
            } else if (m instanceof Message.Digest d) {
                boolean all = d.slices() == Message.ALL_SLICES;
                head(g, all ? DIGEST : PART_DIGEST, d.head());
                if (!all) {
                    g.writeNumber(d.slices());
                }
                g.writeStartArray();
                for (Map.Entry<String, Long> e : d.sums().entrySet()) {
                    who(g, e.getKey(), e.getValue());
                }
                g.writeEndArray();
            } else if (m instanceof Message.Join j) {
                head(g, JOIN, j.head());
            } else if (m instanceof Message.Welcome w) {
                head(g, WELCOME, w.head());
                items(g, w.items());
            } else if (m instanceof Message.Summary s) {
                head(g, SUMMARY, s.head());
                g.writeStartArray();
                for (long sum : s.sums()) {
                    g.writeNumber(sum);
                }
                g.writeEndArray();
            } else if (m instanceof Message.Slices s) {
                head(g, SLICES, s.head());
                g.writeNumber(s.slices());
            } else if (m instanceof Message.Reply r) {
                head(g, REPLY, r.head());
                items(g, r.items());
                g.writeStartArray();
                for (String name : r.wanted()) {
                    g.writeString(name);
                }
                g.writeEndArray();
            } else if (m instanceof Message.Rest r) {
                head(g, REST, r.head());
                items(g, r.items());
            }
            g.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory", e);
        }
        return out.toByteArray();
    }

    private static void head(CBORGenerator g, int kind, Head h) throws IOException {
        g.writeNumber(kind);
        g.writeString(h.fleet());
        who(g, h.name(), h.life());
        g.writeNumber(h.incarnation());
        g.writeString(h.address());
        g.writeNumber(h.state());
    }

    private static void who(CBORGenerator g, String name, long life) throws IOException {
        g.writeString(name);
        g.writeNumber(life);
    }

    private static void items(CBORGenerator g, List<Item> items) throws IOException {
        g.writeStartArray();
        for (Item i : items) {
            if (i instanceof Card c) {
                g.writeNumber(CARD);
                who(g, c.name(), c.life());
                g.writeNumber(c.incarnation());
                g.writeNumber(c.status().ordinal());
                g.writeString(c.address());
                g.writeString(c.zone());
                g.writeString(c.machine());
            } else if (i instanceof Links l) {
                g.writeNumber(LINKS);
                who(g, l.name(), l.life());
                g.writeNumber(l.revision());
                g.writeBoolean(l.ill());
                g.writeStartArray();
                for (Map.Entry<String, Links.Said> s : l.said().entrySet()) {
                    who(g, s.getKey(), s.getValue().life());
                    g.writeNumber(s.getValue().word().ordinal());
                }
                g.writeEndArray();
            }
        }
        g.writeEndArray();
    }

    // ---- Reading ------------------------------------------------------------

    /** @throws IllegalArgumentException for whatever is not a message of this version */
    static Message message(byte[] bytes, int from, int to) {
        try (CBORParser p = CBOR.createParser(bytes, from, to - from)) {
            Reader r = new Reader(p);
            Message m = r.message();
            r.take(JsonToken.END_ARRAY);
            if (p.nextToken() != null) {
                throw new IllegalArgumentException("more than one message");
            }
            return m;
        } catch (IOException e) {
            throw new IllegalArgumentException("not CBOR", e);
        }
    }

    private record Reader(CBORParser p) {

        Message message() throws IOException {
            take(JsonToken.START_ARRAY);
            long version = whole();
            if (version != VERSION) {
                throw new IllegalArgumentException("version " + version);
            }
            long kind = whole();
            Head h = new Head(name(), name(), whole(), count(), address(), whole());
            return switch ((int) kind) {
                case PING -> new Message.Ping(h, name(), whole(), count(), items());
                case ACK -> new Message.Ack(h, count(), items());
                case OTHER -> new Message.Other(h, name(), whole());
                case ASK -> new Message.Ask(h, name(), whole(), address(), count());
                case TOLD -> new Message.Told(h, name(), whole(), count());
                case DIGEST -> new Message.Digest(h, Message.ALL_SLICES, sums());
                case JOIN -> new Message.Join(h);
                case WELCOME -> new Message.Welcome(h, items());
                case SUMMARY -> new Message.Summary(h, slices());
                case SLICES -> new Message.Slices(h, bits());
                case PART_DIGEST -> new Message.Digest(h, bits(), sums());
                case REPLY -> new Message.Reply(h, items(), names());
                case REST -> new Message.Rest(h, items());
                default -> throw new IllegalArgumentException("kind " + kind);
            };
        }

        void take(JsonToken wanted) throws IOException {
            JsonToken is = p.nextToken();
            if (is != wanted) {
                throw new IllegalArgumentException(is + " in place of " + wanted);
            }
        }

        long whole() throws IOException {
            take(JsonToken.VALUE_NUMBER_INT);
            return p.getLongValue();
        }

        /** A number that grows from nothing, and not by leaps up to its end. */
        long count() throws IOException {
            long n = whole();
            if (n < 0 || n > 1L << 48) {
                throw new IllegalArgumentException("count " + n);
            }
            return n;
        }

        String text(Pattern like) throws IOException {
            take(JsonToken.VALUE_STRING);
            String s = p.getText();
            if (!like.matcher(s).matches()) {
                throw new IllegalArgumentException("a text not as it should be");
            }
            return s;
        }

        String name() throws IOException {
            return text(NAME);
        }

        String address() throws IOException {
            return text(ADDRESS);
        }

        List<Item> items() throws IOException {
            List<Item> items = new ArrayList<>();
            take(JsonToken.START_ARRAY);
            while (p.nextToken() != JsonToken.END_ARRAY) {
                bounded(items.size());
                if (p.currentToken() != JsonToken.VALUE_NUMBER_INT) {
                    throw new IllegalArgumentException("no kind of item");
                }
                switch (p.getIntValue()) {
                    case CARD ->
                        items.add(new Card(name(), whole(), count(), one(Status.values()), address(), name(), name()));
                    case LINKS -> items.add(new Links(name(), whole(), count(), truth(), said()));
                    default -> throw new IllegalArgumentException("kind of item");
                }
            }
            return items;
        }

        private <T> T one(T[] of) throws IOException {
            long n = whole();
            if (n < 0 || n >= of.length) {
                throw new IllegalArgumentException("no such word");
            }
            return of[(int) n];
        }

        private boolean truth() throws IOException {
            JsonToken t = p.nextToken();
            if (t != JsonToken.VALUE_TRUE && t != JsonToken.VALUE_FALSE) {
                throw new IllegalArgumentException("neither true nor false");
            }
            return t == JsonToken.VALUE_TRUE;
        }

        private Map<String, Links.Said> said() throws IOException {
            Map<String, Links.Said> said = new HashMap<>();
            take(JsonToken.START_ARRAY);
            while (p.nextToken() != JsonToken.END_ARRAY) {
                bounded(said.size());
                said.put(current(NAME), new Links.Said(whole(), one(Word.values())));
            }
            return said;
        }

        private Map<String, Long> sums() throws IOException {
            Map<String, Long> sums = new HashMap<>();
            take(JsonToken.START_ARRAY);
            while (p.nextToken() != JsonToken.END_ARRAY) {
                bounded(sums.size());
                sums.put(current(NAME), whole());
            }
            return sums;
        }

        private int bits() throws IOException {
            long n = whole();
            if (n != (int) n) {
                throw new IllegalArgumentException("too many bits");
            }
            return (int) n;
        }

        private List<Long> slices() throws IOException {
            List<Long> sums = new ArrayList<>();
            take(JsonToken.START_ARRAY);
            while (p.nextToken() == JsonToken.VALUE_NUMBER_INT) {
                bounded(sums.size());
                sums.add(p.getLongValue());
            }
            if (p.currentToken() != JsonToken.END_ARRAY || sums.size() != Message.SLICE_COUNT) {
                throw new IllegalArgumentException("not one sum for each slice");
            }
            return sums;
        }

        private List<String> names() throws IOException {
            List<String> names = new ArrayList<>();
            take(JsonToken.START_ARRAY);
            while (p.nextToken() != JsonToken.END_ARRAY) {
                bounded(names.size());
                names.add(current(NAME));
            }
            return names;
        }

        private String current(Pattern like) throws IOException {
            if (p.currentToken() != JsonToken.VALUE_STRING
                    || !like.matcher(p.getText()).matches()) {
                throw new IllegalArgumentException("a text not as it should be");
            }
            return p.getText();
        }

        private static void bounded(int size) {
            if (size >= LIST_MOST) {
                throw new IllegalArgumentException("a list too long");
            }
        }
    }
}
