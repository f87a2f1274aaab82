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
 * Encodes and decodes membership messages as CBOR (RFC 8949). A message is one array: the version, the kind, the
 * header, and the fields of the kind. Decoding is strict: anything that is not exactly a message of this version, down
 * to the syntax of names and addresses, is rejected as a whole.
 */
final class MembershipMessageCodec {

    /** The version of the wire format. Messages of any other version are rejected and counted. */
    static final int VERSION = 1;

    private static final int MAX_NESTING = 8;
    private static final int MAX_TEXT_LENGTH = 256;
    private static final int MAX_NUMBER_LENGTH = 32;
    /** Initial size of an encoding buffer; most datagrams fit. */
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

    /** Returns the bytes of a message. */
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
            throw new IllegalStateException("encoding a message in memory failed", e);
        }
        return out.toByteArray();
    }

    // ---- Decoding ------------------------------------------------------------

    /**
     * Returns the message in the bytes from {@code from} up to {@code to}.
     *
     * @throws IllegalArgumentException if the bytes are not exactly one message of this version
     */
    static Message decode(byte[] bytes, int from, int to) {
        try (CBORParser parser = CBOR.createParser(bytes, from, to - from)) {
            MembershipMessageReader reader = new MembershipMessageReader(parser);
            Message message = reader.readMessage();
            reader.expect(JsonToken.END_ARRAY);
            if (parser.nextToken() != null) {
                throw new IllegalArgumentException("bytes after the end of the message");
            }
            return message;
        } catch (IOException e) {
            throw new IllegalArgumentException("invalid CBOR", e);
        }
    }
}
