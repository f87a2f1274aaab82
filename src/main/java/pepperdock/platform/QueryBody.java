package pepperdock.platform;

import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import pepperdock.codec.http.HttpException;
import pepperdock.core.QueryRequest;

/**
 * The body of a platform query: its parts, and the text that each of them carries. Read strictly, as what is repaired on
 * the way in would be served as though its client had asked for it.
 */
record QueryBody(List<QueryRequest.RequestedPart> pieces, byte[] text) {

    static QueryBody read(byte[] body, int shards) throws HttpException {
        try (JsonReader in = new JsonReader(new StringReader(StandardCharsets.UTF_8
                .newDecoder()
                .decode(ByteBuffer.wrap(body))
                .toString()))) {
            in.setStrictness(Strictness.STRICT);
            QueryBody read = query(in, shards);
            check(in.peek() == JsonToken.END_DOCUMENT, "more than a query");
            return read;
        } catch (CharacterCodingException e) {
            throw new HttpException(400, "body: not UTF-8");
        } catch (IOException | IllegalStateException | NumberFormatException e) {
            throw new HttpException(400, "body: not a query: " + e.getMessage());
        }
    }

    private static QueryBody query(JsonReader in, int shards) throws IOException, HttpException {
        List<QueryRequest.RequestedPart> pieces = null;
        String text = null;
        Set<String> seen = new HashSet<>();
        in.beginObject();
        while (in.hasNext()) {
            String name = name(in, seen);
            if (name.equals("ranges")) {
                pieces = pieces(in, shards);
            } else if (name.equals("predicate")) {
                check(in.peek() == JsonToken.STRING, "predicate: not a text");
                text = in.nextString();
            } else {
                in.skipValue();
            }
        }
        in.endObject();
        check(pieces != null && !pieces.isEmpty(), "ranges: missing or empty");
        check(text != null, "predicate: missing");
        return new QueryBody(pieces, text.getBytes(StandardCharsets.UTF_8));
    }

    private static List<QueryRequest.RequestedPart> pieces(JsonReader in, int shards)
            throws IOException, HttpException {
        List<QueryRequest.RequestedPart> pieces = new ArrayList<>();
        Set<Integer> given = new HashSet<>();
        in.beginArray();
        while (in.hasNext()) {
            QueryRequest.RequestedPart piece = piece(in);
            check(piece.shard() >= 0 && piece.shard() < shards, "ranges: no such range");
            check(given.add(piece.shard()), "ranges: one given twice");
            check(piece.weight() >= 0 && piece.weight() <= 1, "ranges: portion out of range");
            pieces.add(piece);
        }
        in.endArray();
        check(pieces.isEmpty() || QueryRequest.weightsSumToOne(pieces), "ranges: portions do not add up to 1");
        return pieces;
    }

    private static QueryRequest.RequestedPart piece(JsonReader in) throws IOException, HttpException {
        int shard = -1;
        double weight = Double.NaN;
        Set<String> seen = new HashSet<>();
        in.beginObject();
        while (in.hasNext()) {
            String name = name(in, seen);
            if (name.equals("range")) {
                check(in.peek() == JsonToken.NUMBER, "ranges: range not a number");
                shard = in.nextInt();
            } else if (name.equals("portion")) {
                check(in.peek() == JsonToken.NUMBER, "ranges: portion not a number");
                weight = in.nextDouble();
            } else {
                in.skipValue();
            }
        }
        in.endObject();
        return new QueryRequest.RequestedPart(shard, weight);
    }

    /** Of two values under one name, one reader takes the first and another the last. */
    private static String name(JsonReader in, Set<String> seen) throws IOException, HttpException {
        String name = in.nextName();
        check(seen.add(name), "a name given twice");
        return name;
    }

    private static void check(boolean ok, String otherwise) throws HttpException {
        if (!ok) {
            throw new HttpException(400, otherwise);
        }
    }
}
