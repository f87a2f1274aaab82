package pepperdock.membership.transport;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
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
 * Reads one membership message. Every method throws an {@link IllegalArgumentException} for a field that is invalid.
 */
record MembershipMessageReader(CBORParser parser) {

    /** Maximum number of entries in a list. */
    private static final int MAX_LIST_ENTRIES = 100_000;
    /**
     * Maximum of incarnations, revisions and sequence numbers, so that one message cannot push any to the end of its
     * range.
     */
    private static final long MAX_COUNT = 1L << 48;

    private static final Pattern NAME = Pattern.compile(MemberRecord.NAME_PATTERN);
    private static final Pattern ADDRESS =
            Pattern.compile("([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[?[0-9A-Fa-f:.]{2,45}]?):[0-9]{1,5}");

    Message readMessage() throws IOException {
        expect(JsonToken.START_ARRAY);
        long version = readLong();
        if (version != MembershipMessageCodec.VERSION) {
            throw new IllegalArgumentException("unsupported message version " + version);
        }
        long kind = readLong();
        Header header = new Header(readName(), readName(), readLong(), readCount(), readAddress(), readLong());
        return switch ((int) kind) {
            case MessageKinds.PING -> new Message.Ping(header, readName(), readLong(), readCount(), readItems());
            case MessageKinds.ACK -> new Message.Ack(header, readCount(), readItems());
            case MessageKinds.WRONG_ADDRESSEE -> new Message.WrongAddressee(header, readName(), readLong());
            case MessageKinds.INDIRECT_PING ->
                new Message.IndirectPing(header, readName(), readLong(), readAddress(), readCount());
            case MessageKinds.INDIRECT_ACK -> new Message.IndirectAck(header, readName(), readLong(), readCount());
            case MessageKinds.DIGEST_REQUEST -> new Message.DigestRequest(header, Message.ALL_SLICES, readDigests());
            case MessageKinds.JOIN -> new Message.Join(header);
            case MessageKinds.JOIN_RESPONSE -> new Message.JoinResponse(header, readItems());
            case MessageKinds.SLICE_DIGESTS -> new Message.SliceDigests(header, readSliceDigests());
            case MessageKinds.SLICE_SELECTION -> new Message.SliceSelection(header, readSlices());
            case MessageKinds.PARTIAL_DIGEST_REQUEST -> new Message.DigestRequest(header, readSlices(), readDigests());
            case MessageKinds.DIGEST_RESPONSE -> new Message.DigestResponse(header, readItems(), readNames());
            case MessageKinds.MISSING_ITEMS -> new Message.MissingItems(header, readItems());
            default -> throw new IllegalArgumentException("unknown message kind " + kind);
        };
    }

    void expect(JsonToken expected) throws IOException {
        JsonToken actual = parser.nextToken();
        if (actual != expected) {
            throw new IllegalArgumentException(actual + " found, expected " + expected);
        }
    }

    private long readLong() throws IOException {
        expect(JsonToken.VALUE_NUMBER_INT);
        return parser.getLongValue();
    }

    /** Reads a number that counts up from zero, and rejects one above {@link #MAX_COUNT}. */
    private long readCount() throws IOException {
        long number = readLong();
        if (number < 0 || number > MAX_COUNT) {
            throw new IllegalArgumentException("count out of range: " + number);
        }
        return number;
    }

    private String readText(Pattern pattern) throws IOException {
        expect(JsonToken.VALUE_STRING);
        String text = parser.getText();
        if (!pattern.matcher(text).matches()) {
            throw new IllegalArgumentException("name or address has invalid syntax");
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
                throw new IllegalArgumentException("item does not begin with its kind");
            }
            switch (parser.getIntValue()) {
                case MessageKinds.MEMBER_RECORD -> items.add(readMemberRecord());
                case MessageKinds.OBSERVATIONS -> items.add(readObservations());
                default -> throw new IllegalArgumentException("unknown kind of item");
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
            throw new IllegalArgumentException("number is not an ordinal of the expected enum");
        }
        return constants[(int) number];
    }

    private boolean readBoolean() throws IOException {
        JsonToken token = parser.nextToken();
        if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
            throw new IllegalArgumentException("expected true or false");
        }
        return token == JsonToken.VALUE_TRUE;
    }

    private Map<String, Observations.SubjectObservation> readBySubject() throws IOException {
        Map<String, Observations.SubjectObservation> bySubject = new HashMap<>();
        expect(JsonToken.START_ARRAY);
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            checkListSize(bySubject.size());
            bySubject.put(
                    currentName(), new Observations.SubjectObservation(readLong(), readConstant(Observation.values())));
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

    private int readSlices() throws IOException {
        long number = readLong();
        if (number != (int) number) {
            throw new IllegalArgumentException("slice selection has more than 32 bits");
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
            throw new IllegalArgumentException("expected exactly one digest for each slice");
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
            throw new IllegalArgumentException("name or address has invalid syntax");
        }
        return parser.getText();
    }

    private static void checkListSize(int size) {
        if (size >= MAX_LIST_ENTRIES) {
            throw new IllegalArgumentException("list has more than " + MAX_LIST_ENTRIES + " entries");
        }
    }
}
