package pepperdock.codec.http;

import java.util.Locale;
import java.util.Map;

/** A whole request (method and target) or response (status); header names are in lower case. */
public record HttpMessage(
        String method, String target, int status, Map<String, String> headers, byte[] body, boolean keepAlive) {

    /** A header's value, or null. */
    public String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    /** The target without its query. */
    public String path() {
        int mark = target.indexOf('?');
        return mark < 0 ? target : target.substring(0, mark);
    }

    /** A parameter of the target's query, percent-decoded; null where absent. */
    public String parameter(String name) {
        int mark = target.indexOf('?');
        for (String pair : mark < 0 ? new String[0] : target.substring(mark + 1).split("&")) {
            int is = pair.indexOf('=');
            String key = is < 0 ? pair : pair.substring(0, is);
            if (key.equals(name)) {
                return is < 0
                        ? ""
                        : java.net.URLDecoder.decode(pair.substring(is + 1), java.nio.charset.StandardCharsets.UTF_8);
            }
        }
        return null;
    }
}
