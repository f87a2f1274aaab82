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
import pepperdock.membership.GossipItem;
import pepperdock.membership.MemberRecord;
import pepperdock.membership.Message;
import pepperdock.membership.Message.Header;
import pepperdock.membership.Observation;
import pepperdock.membership.Observations;
import pepperdock.membership.RecordStatus;

/**
 * Messages as CBOR (RFC 8949): one array, the version and the kind first, then the head, then what the kind has. Strict: what
 * is not exactly a message of this version, down to names and addresses, is refused as a whole, whatever it is.
 */
final class MembershipMessageCodec {

    /** Of the wire; a member that speaks another is refused, and counted. */
    static final int VERSION = 1;
    /** Entries of a list that a stream may bring, and of one in a datagram. */
    private static final int MAX_LIST_ENTRIES = 100_000;

    private static final int PING = 1;
    private static final int ACK = 2;
    private static final int WRONG_ADDRESSEE = 3;
    private static final int INDIRECT_PING = 4;
    private static final int INDIRECT_ACK = 5;
    private static final int DIGEST_REQUEST = 6;
    private static final int DIGEST_RESPONSE = 7;
    private static final int MISSING_ITEMS = 8;
    private static final int SLICE_DIGESTS = 9;
    private static final int SLICE_SELECTION = 10;
    /** A digest of some slices; one of all has the kind that it had before there were slices. */
    private static final int PARTIAL_DIGEST_REQUEST = 11;

    private static final int JOIN = 12;
    private static final int JOIN_RESPONSE = 13;
    private static final int MEMBER_RECORD = 1;
    private static final int OBSERVATIONS = 2;
    private static final Pattern NAME = Pattern.compile(MemberRecord.NAME_PATTERN);
    private static final Pattern ADDRESS =
            Pattern.compile("([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[?[0-9A-Fa-f:.]{2,45}]?):[0-9]{1,5}");
    private static final CBORFactory CBOR = CBORFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(8)
                    .maxStringLength(256)
                    .maxNumberLength(32)
                    .build())
            .build();

    private MembershipMessageCodec() {}

    /** Whether it can be announced to others. */
    static boolean isAddress(String text) {
        return ADDRESS.matcher(text).matches();
    }

    // ---- Writing ------------------------------------------------------------

    static byte[] encode(Message message) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        try (CBORGenerator generator = CBOR.createGenerator(out)) {
            generator.writeStartArray();
            generator.writeNumber(VERSION);
            if (message instanceof Message.Ping p) {
                writeHeader(generator, PING, p.header());
                writeNameAndNumber(generator, p.target(), p.generation());
                generator.writeNumber(p.sequence());
                writeItems(generator, p.gossip());
            } else if (message instanceof Message.Ack a) {
                writeHeader(generator, ACK, a.header());
                generator.writeNumber(a.sequence());
                writeItems(generator, a.gossip());
            } else if (message instanceof Message.WrongAddressee o) {
                writeHeader(generator, WRONG_ADDRESSEE, o.header());
                writeNameAndNumber(generator, o.target(), o.generation());
            } else if (message instanceof Message.IndirectPing a) {
                writeHeader(generator, INDIRECT_PING, a.header());
                writeNameAndNumber(generator, a.subject(), a.generation());
                generator.writeString(a.address());
                generator.writeNumber(a.sequence());
            } else if (message instanceof Message.IndirectAck t) {
                writeHeader(generator, INDIRECT_ACK, t.header());
                writeNameAndNumber(generator, t.subject(), t.generation());
                generator.writeNumber(t.sequence());
            } else if (message instanceof Message.DigestRequest d) {
                boolean all = d.slices() == Message.ALL_SLICES;
                writeHeader(generator, all ? DIGEST_REQUEST : PARTIAL_DIGEST_REQUEST, d.header());
                if (!all) {
                    generator.writeNumber(d.slices());
                }
                generator.writeStartArray();
                for (Map.Entry<String, Long> e : d.digests().entrySet()) {
                    writeNameAndNumber(generator, e.getKey(), e.getValue());
                }
                generator.writeEndArray();
            } else if (message instanceof Message.Join j) {
                writeHeader(generator, JOIN, j.header());
            } else if (message instanceof Message.JoinResponse w) {
                writeHeader(generator, JOIN_RESPONSE, w.header());
                writeItems(generator, w.items());
            } else if (message instanceof Message.SliceDigests s) {
                writeHeader(generator, SLICE_DIGESTS, s.header());
                generator.writeStartArray();
                for (long sum : s.digests()) {
                    generator.writeNumber(sum);
                }
                generator.writeEndArray();
            } else if (message instanceof Message.SliceSelection s) {
                writeHeader(generator, SLICE_SELECTION, s.header());
                generator.writeNumber(s.slices());
            } else if (message instanceof Message.DigestResponse r) {
                writeHeader(generator, DIGEST_RESPONSE, r.header());
                writeItems(generator, r.items());
                generator.writeStartArray();
                for (String name : r.requestedNames()) {
                    generator.writeString(name);
                }
                generator.writeEndArray();
            } else if (message instanceof Message.MissingItems r) {
                writeHeader(generator, MISSING_ITEMS, r.header());
                writeItems(generator, r.items());
            }
            generator.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory", e);
        }
        return out.toByteArray();
    }

    private static void writeHeader(CBORGenerator generator, int kind, Header header) throws IOException {
        generator.writeNumber(kind);
        generator.writeString(header.fleet());
        writeNameAndNumber(generator, header.name(), header.generation());
        generator.writeNumber(header.incarnation());
        generator.writeString(header.address());
        generator.writeNumber(header.stateDigest());
    }

    private static void writeNameAndNumber(CBORGenerator generator, String name, long life) throws IOException {
        generator.writeString(name);
        generator.writeNumber(life);
    }

    private static void writeItems(CBORGenerator generator, List<GossipItem> items) throws IOException {
        generator.writeStartArray();
        for (GossipItem item : items) {
            if (item instanceof MemberRecord memberRecord) {
                generator.writeNumber(MEMBER_RECORD);
                writeNameAndNumber(generator, memberRecord.name(), memberRecord.generation());
                generator.writeNumber(memberRecord.incarnation());
                generator.writeNumber(memberRecord.status().ordinal());
                generator.writeString(memberRecord.address());
                generator.writeString(memberRecord.zone());
                generator.writeString(memberRecord.machine());
            } else if (item instanceof Observations observations) {
                generator.writeNumber(OBSERVATIONS);
                writeNameAndNumber(generator, observations.name(), observations.generation());
                generator.writeNumber(observations.revision());
                generator.writeBoolean(observations.unhealthy());
                generator.writeStartArray();
                for (Map.Entry<String, Observations.SubjectObservation> observation :
                        observations.bySubject().entrySet()) {
                    writeNameAndNumber(
                            generator,
                            observation.getKey(),
                            observation.getValue().generation());
                    generator.writeNumber(observation.getValue().observation().ordinal());
                }
                generator.writeEndArray();
            }
        }
        generator.writeEndArray();
    }

    // ---- Reading ------------------------------------------------------------

    /** @throws IllegalArgumentException for whatever is not a message of this version */
    static Message decode(byte[] bytes, int from, int to) {
        try (CBORParser parser = CBOR.createParser(bytes, from, to - from)) {
            Reader reader = new Reader(parser);
            Message message = reader.readMessage();
            reader.expect(JsonToken.END_ARRAY);
            if (parser.nextToken() != null) {
                throw new IllegalArgumentException("more than one message");
            }
            return message;
        } catch (IOException e) {
            throw new IllegalArgumentException("not CBOR", e);
        }
    }

    private record Reader(CBORParser parser) {

        Message readMessage() throws IOException {
            expect(JsonToken.START_ARRAY);
            long version = readLong();
            if (version != VERSION) {
                throw new IllegalArgumentException("version " + version);
            }
            long kind = readLong();
            Header header = new Header(readName(), readName(), readLong(), readCount(), readAddress(), readLong());
            return switch ((int) kind) {
                case PING -> new Message.Ping(header, readName(), readLong(), readCount(), readItems());
                case ACK -> new Message.Ack(header, readCount(), readItems());
                case WRONG_ADDRESSEE -> new Message.WrongAddressee(header, readName(), readLong());
                case INDIRECT_PING ->
                    new Message.IndirectPing(header, readName(), readLong(), readAddress(), readCount());
                case INDIRECT_ACK -> new Message.IndirectAck(header, readName(), readLong(), readCount());
                case DIGEST_REQUEST -> new Message.DigestRequest(header, Message.ALL_SLICES, readDigests());
                case JOIN -> new Message.Join(header);
                case JOIN_RESPONSE -> new Message.JoinResponse(header, readItems());
                case SLICE_DIGESTS -> new Message.SliceDigests(header, readSliceDigests());
                case SLICE_SELECTION -> new Message.SliceSelection(header, readBits());
                case PARTIAL_DIGEST_REQUEST -> new Message.DigestRequest(header, readBits(), readDigests());
                case DIGEST_RESPONSE -> new Message.DigestResponse(header, readItems(), readNames());
                case MISSING_ITEMS -> new Message.MissingItems(header, readItems());
                default -> throw new IllegalArgumentException("kind " + kind);
            };
        }

        void expect(JsonToken expected) throws IOException {
            JsonToken actual = parser.nextToken();
            if (actual != expected) {
                throw new IllegalArgumentException(actual + " in place of " + expected);
            }
        }

        long readLong() throws IOException {
            expect(JsonToken.VALUE_NUMBER_INT);
            return parser.getLongValue();
        }

        /** A number that grows from nothing, and not by leaps up to its end. */
        long readCount() throws IOException {
            long number = readLong();
            if (number < 0 || number > 1L << 48) {
                throw new IllegalArgumentException("count " + number);
            }
            return number;
        }

        String readText(Pattern pattern) throws IOException {
            expect(JsonToken.VALUE_STRING);
            String text = parser.getText();
            if (!pattern.matcher(text).matches()) {
                throw new IllegalArgumentException("a text not as it should be");
            }
            return text;
        }

        String readName() throws IOException {
            return readText(NAME);
        }

        String readAddress() throws IOException {
            return readText(ADDRESS);
        }

        List<GossipItem> readItems() throws IOException {
            List<GossipItem> items = new ArrayList<>();
            expect(JsonToken.START_ARRAY);
            while (parser.nextToken() != JsonToken.END_ARRAY) {
                checkListSize(items.size());
                if (parser.currentToken() != JsonToken.VALUE_NUMBER_INT) {
                    throw new IllegalArgumentException("no kind of item");
                }
                switch (parser.getIntValue()) {
                    case MEMBER_RECORD ->
                        items.add(new MemberRecord(
                                readName(),
                                readLong(),
                                readCount(),
                                readConstant(RecordStatus.values()),
                                readAddress(),
                                readName(),
                                readName()));
                    case OBSERVATIONS ->
                        items.add(new Observations(
                                readName(), readLong(), readCount(), readBoolean(), readObservations()));
                    default -> throw new IllegalArgumentException("kind of item");
                }
            }
            return items;
        }

        private <T> T readConstant(T[] constants) throws IOException {
            long number = readLong();
            if (number < 0 || number >= constants.length) {
                throw new IllegalArgumentException("no such word");
            }
            return constants[(int) number];
        }

        private boolean readBoolean() throws IOException {
            JsonToken token = parser.nextToken();
            if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
                throw new IllegalArgumentException("neither true nor false");
            }
            return token == JsonToken.VALUE_TRUE;
        }

        private Map<String, Observations.SubjectObservation> readObservations() throws IOException {
            Map<String, Observations.SubjectObservation> bySubject = new HashMap<>();
            expect(JsonToken.START_ARRAY);
            while (parser.nextToken() != JsonToken.END_ARRAY) {
                checkListSize(bySubject.size());
                bySubject.put(
                        currentText(NAME),
                        new Observations.SubjectObservation(readLong(), readConstant(Observation.values())));
            }
            return bySubject;
        }

        private Map<String, Long> readDigests() throws IOException {
            Map<String, Long> digests = new HashMap<>();
            expect(JsonToken.START_ARRAY);
            while (parser.nextToken() != JsonToken.END_ARRAY) {
                checkListSize(digests.size());
                digests.put(currentText(NAME), readLong());
            }
            return digests;
        }

        private int readBits() throws IOException {
            long number = readLong();
            if (number != (int) number) {
                throw new IllegalArgumentException("too many bits");
            }
            return (int) number;
        }

        private List<Long> readSliceDigests() throws IOException {
            List<Long> digests = new ArrayList<>();
            expect(JsonToken.START_ARRAY);
            while (parser.nextToken() == JsonToken.VALUE_NUMBER_INT) {
                checkListSize(digests.size());
                digests.add(parser.getLongValue());
            }
            if (parser.currentToken() != JsonToken.END_ARRAY || digests.size() != Message.SLICE_COUNT) {
                throw new IllegalArgumentException("not one sum for each slice");
            }
            return digests;
        }

        private List<String> readNames() throws IOException {
            List<String> names = new ArrayList<>();
            expect(JsonToken.START_ARRAY);
            while (parser.nextToken() != JsonToken.END_ARRAY) {
                checkListSize(names.size());
                names.add(currentText(NAME));
            }
            return names;
        }

        private String currentText(Pattern pattern) throws IOException {
            if (parser.currentToken() != JsonToken.VALUE_STRING
                    || !pattern.matcher(parser.getText()).matches()) {
                throw new IllegalArgumentException("a text not as it should be");
            }
            return parser.getText();
        }

        private static void checkListSize(int size) {
            if (size >= MAX_LIST_ENTRIES) {
                throw new IllegalArgumentException("a list too long");
            }
        }
    }
}
