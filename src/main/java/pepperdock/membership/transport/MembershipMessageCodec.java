package pepperdock.membership.transport;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import pepperdock.membership.Message;

/**
 * Membership messages as CBOR (RFC 8949): one array, the version and the kind first, then the header, then what the kind has.
 * Strict: what is not exactly a message of this version, down to names and addresses, is rejected as a whole.
 */
final class MembershipMessageCodec {

    /** Of the wire; a member that speaks another is rejected, and counted. */
    static final int VERSION = 1;

    private static final int MAX_NESTING = 8;
    private static final int MAX_TEXT_LENGTH = 256;
    private static final int MAX_NUMBER_LENGTH = 32;
    /** Bytes that a buffer for encoding begins with: most datagrams fit. */
    private static final int INITIAL_BUFFER_BYTES = 256;

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
            MembershipMessageWriter writer = new MembershipMessageWriter(generator);
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

    // ---- Decoding ------------------------------------------------------------

    /**
     * Decodes the bytes from {@code from} up to {@code to}.
     *
     * @throws IllegalArgumentException for whatever is not a message of this version
     */
    static Message decode(byte[] bytes, int from, int to) {
        try (CBORParser parser = CBOR.createParser(bytes, from, to - from)) {
            MembershipMessageReader reader = new MembershipMessageReader(parser);
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
}
