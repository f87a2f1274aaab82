package pepperdock.codec.http;

import java.util.Locale;
import java.util.Map;

/** A complete HTTP request (with method and target) or response (with status); header names are in lower case. */
public record HttpMessage(
        String method, String target, int status, Map<String, String> headers, byte[] body, boolean keepAlive) {

    /** Returns a header's value, or null if it is absent. */
    public String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    /** Returns the target without its query string. */
    public String path() {
        int queryStart = target.indexOf('?');
        return queryStart < 0 ? target : target.substring(0, queryStart);
    }

    /** Returns a parameter of the query string, percent-decoded; null if it is absent. */
    public String parameter(String name) {
        int queryStart = target.indexOf('?');
        for (String pair : queryStart < 0
                ? new String[0]
                : target.substring(queryStart + 1).split("&")) {
            int separator = pair.indexOf('=');
            String key = separator < 0 ? pair : pair.substring(0, separator);
            if (key.equals(name)) {
                return separator < 0
                        ? ""
                        : java.net.URLDecoder.decode(
                                pair.substring(separator + 1), java.nio.charset.StandardCharsets.UTF_8);
            }
        }
        return null;
    }
}
