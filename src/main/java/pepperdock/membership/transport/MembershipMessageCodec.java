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
 * Membership messages as CBOR (RFC 8949): one array, the version and the kind first, then the header, then what the kind has.
 * Strict: what is not exactly a message of this version, down to names and addresses, is rejected as a whole.
 */
final class MembershipMessageCodec {

    /** Of the wire; a member that speaks another is rejected, and counted. */
    static final int VERSION = 1;
    /** Entries of a list, at most. */
    private static final int MAX_LIST_ENTRIES = 100_000;
    /** Incarnations, revisions and sequence numbers, at most: none can be driven to the end of its range by one message. */
    private static final long MAX_COUNT = 1L << 48;

    private static final int MAX_NESTING = 8;
    private static final int MAX_TEXT_LENGTH = 256;
    private static final int MAX_NUMBER_LENGTH = 32;
    /** Bytes that a buffer for encoding begins with: most datagrams fit. */
    private static final int INITIAL_BUFFER_BYTES = 256;

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
    /** A digest request of some slices; one of all slices is a {@link #DIGEST_REQUEST}, which has no slices on the wire. */
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
                    .maxNestingDepth(MAX_NESTING)
                    .maxStringLength(MAX_TEXT_LENGTH)
                    .maxNumberLength(MAX_NUMBER_LENGTH)
                    .build())
            .build();

    private MembershipMessageCodec() {}

    // ---- Encoding ------------------------------------------------------------

    /** Encodes a message. */
    static byte[] encode(Message message) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
        try (CBORGenerator generator = CBOR.createGenerator(out)) {
            Writer writer = new Writer(generator);
            generator.writeStartArray();
            generator.writeNumber(VERSION);
            if (!writer.writeDatagram(message)) {
                writer.writeExchange(message);
            }
            generator.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory", e);
        }
        return out.toByteArray();
    }

    private record Writer(CBORGenerator generator) {

        /** Writes a message that goes by datagram; false where it is none. */
        boolean writeDatagram(Message message) throws IOException {
            if (message instanceof Message.Ping ping) {
                writeHeader(PING, ping.header());
                writeNameAndNumber(ping.target(), ping.generation());
                generator.writeNumber(ping.sequence());
                writeItems(ping.gossip());
            } else if (message instanceof Message.Ack ack) {
                writeHeader(ACK, ack.header());
                generator.writeNumber(ack.sequence());
                writeItems(ack.gossip());
            } else if (message instanceof Message.WrongAddressee wrongAddressee) {
                writeHeader(WRONG_ADDRESSEE, wrongAddressee.header());
                writeNameAndNumber(wrongAddressee.target(), wrongAddressee.generation());
            } else if (message instanceof Message.IndirectPing ping) {
                writeHeader(INDIRECT_PING, ping.header());
                writeNameAndNumber(ping.subject(), ping.generation());
                generator.writeString(ping.address());
                generator.writeNumber(ping.sequence());
            } else if (message instanceof Message.IndirectAck ack) {
                writeHeader(INDIRECT_ACK, ack.header());
                writeNameAndNumber(ack.subject(), ack.generation());
                generator.writeNumber(ack.sequence());
            } else if (message instanceof Message.Join join) {
                writeHeader(JOIN, join.header());
            } else if (message instanceof Message.JoinResponse response) {
                writeHeader(JOIN_RESPONSE, response.header());
                writeItems(response.items());
            } else {
                return false;
            }
            return true;
        }

        /** Writes a message of an exchange. */
        void writeExchange(Message message) throws IOException {
            if (message instanceof Message.SliceDigests digests) {
                writeHeader(SLICE_DIGESTS, digests.header());
                writeNumbers(digests.digests());
            } else if (message instanceof Message.SliceSelection selection) {
                writeHeader(SLICE_SELECTION, selection.header());
                generator.writeNumber(selection.slices());
            } else if (message instanceof Message.DigestRequest request) {
                writeDigestRequest(request);
            } else if (message instanceof Message.DigestResponse response) {
                writeHeader(DIGEST_RESPONSE, response.header());
                writeItems(response.items());
                writeNames(response.requestedNames());
            } else if (message instanceof Message.MissingItems missing) {
                writeHeader(MISSING_ITEMS, missing.header());
                writeItems(missing.items());
            }
        }

        private void writeDigestRequest(Message.DigestRequest request) throws IOException {
            boolean all = request.slices() == Message.ALL_SLICES;
            writeHeader(all ? DIGEST_REQUEST : PARTIAL_DIGEST_REQUEST, request.header());
            if (!all) {
                generator.writeNumber(request.slices());
            }
            generator.writeStartArray();
            for (Map.Entry<String, Long> digest : request.digests().entrySet()) {
                writeNameAndNumber(digest.getKey(), digest.getValue());
            }
            generator.writeEndArray();
        }

        private void writeHeader(int kind, Header header) throws IOException {
            generator.writeNumber(kind);
            generator.writeString(header.fleet());
            writeNameAndNumber(header.name(), header.generation());
            generator.writeNumber(header.incarnation());
            generator.writeString(header.address());
            generator.writeNumber(header.stateDigest());
        }

        private void writeNameAndNumber(String name, long number) throws IOException {
            generator.writeString(name);
            generator.writeNumber(number);
        }

        private void writeNumbers(List<Long> numbers) throws IOException {
            generator.writeStartArray();
            for (long number : numbers) {
                generator.writeNumber(number);
            }
            generator.writeEndArray();
        }

        private void writeNames(List<String> names) throws IOException {
            generator.writeStartArray();
            for (String name : names) {
                generator.writeString(name);
            }
            generator.writeEndArray();
        }

        private void writeItems(List<GossipItem> items) throws IOException {
            generator.writeStartArray();
            for (GossipItem item : items) {
                if (item instanceof MemberRecord memberRecord) {
                    writeMemberRecord(memberRecord);
                } else if (item instanceof Observations observations) {
                    writeObservations(observations);
                }
            }
            generator.writeEndArray();
        }

        private void writeMemberRecord(MemberRecord memberRecord) throws IOException {
            generator.writeNumber(MEMBER_RECORD);
            writeNameAndNumber(memberRecord.name(), memberRecord.generation());
            generator.writeNumber(memberRecord.incarnation());
            generator.writeNumber(memberRecord.status().ordinal());
            generator.writeString(memberRecord.address());
            generator.writeString(memberRecord.zone());
            generator.writeString(memberRecord.machine());
        }

        private void writeObservations(Observations observations) throws IOException {
            generator.writeNumber(OBSERVATIONS);
            writeNameAndNumber(observations.name(), observations.generation());
            generator.writeNumber(observations.revision());
            generator.writeBoolean(observations.unhealthy());
            generator.writeStartArray();
            for (Map.Entry<String, Observations.SubjectObservation> subject :
                    observations.bySubject().entrySet()) {
                writeNameAndNumber(subject.getKey(), subject.getValue().generation());
                generator.writeNumber(subject.getValue().observation().ordinal());
            }
            generator.writeEndArray();
        }
    }

    // ---- Decoding ------------------------------------------------------------

    /**
     * Decodes the bytes from {@code from} up to {@code to}.
     *
     * @throws IllegalArgumentException for whatever is not a message of this version
     */
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

        private long readLong() throws IOException {
            expect(JsonToken.VALUE_NUMBER_INT);
            return parser.getLongValue();
        }

        /** A number that grows from nothing, and not by leaps up to its end. */
        private long readCount() throws IOException {
            long number = readLong();
            if (number < 0 || number > MAX_COUNT) {
                throw new IllegalArgumentException("count " + number);
            }
            return number;
        }

        private String readText(Pattern pattern) throws IOException {
            expect(JsonToken.VALUE_STRING);
            String text = parser.getText();
            if (!pattern.matcher(text).matches()) {
                throw new IllegalArgumentException("a text not as it should be");
            }
            return text;
        }

        private String readName() throws IOException {
            return readText(NAME);
        }

        private String readAddress() throws IOException {
            return readText(ADDRESS);
        }

        private List<GossipItem> readItems() throws IOException {
            List<GossipItem> items = new ArrayList<>();
            expect(JsonToken.START_ARRAY);
            while (parser.nextToken() != JsonToken.END_ARRAY) {
                checkListSize(items.size());
                if (parser.currentToken() != JsonToken.VALUE_NUMBER_INT) {
                    throw new IllegalArgumentException("no kind of item");
                }
                switch (parser.getIntValue()) {
                    case MEMBER_RECORD -> items.add(readMemberRecord());
                    case OBSERVATIONS -> items.add(readObservations());
                    default -> throw new IllegalArgumentException("kind of item");
                }
            }
            return items;
        }

        private MemberRecord readMemberRecord() throws IOException {
            return new MemberRecord(
                    readName(),
                    readLong(),
                    readCount(),
                    readConstant(RecordStatus.values()),
                    readAddress(),
                    readName(),
                    readName());
        }

        private Observations readObservations() throws IOException {
            return new Observations(readName(), readLong(), readCount(), readBoolean(), readBySubject());
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

        private Map<String, Observations.SubjectObservation> readBySubject() throws IOException {
            Map<String, Observations.SubjectObservation> bySubject = new HashMap<>();
            expect(JsonToken.START_ARRAY);
            while (parser.nextToken() != JsonToken.END_ARRAY) {
                checkListSize(bySubject.size());
                bySubject.put(
                        currentName(),
                        new Observations.SubjectObservation(readLong(), readConstant(Observation.values())));
            }
            return bySubject;
        }

        private Map<String, Long> readDigests() throws IOException {
            Map<String, Long> digests = new HashMap<>();
            expect(JsonToken.START_ARRAY);
            while (parser.nextToken() != JsonToken.END_ARRAY) {
                checkListSize(digests.size());
                digests.put(currentName(), readLong());
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
                throw new IllegalArgumentException("not one digest for each slice");
            }
            return digests;
        }

        private List<String> readNames() throws IOException {
            List<String> names = new ArrayList<>();
            expect(JsonToken.START_ARRAY);
            while (parser.nextToken() != JsonToken.END_ARRAY) {
                checkListSize(names.size());
                names.add(currentName());
            }
            return names;
        }

        private String currentName() throws IOException {
            if (parser.currentToken() != JsonToken.VALUE_STRING
                    || !NAME.matcher(parser.getText()).matches()) {
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
