package pepperdock.opensearch;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import java.nio.charset.StandardCharsets;
import pepperdock.core.Query;
import pepperdock.core.QueryListener;
import pepperdock.transport.HttpResponseSender;

/** Sends the one final answer to an update: the worker's own JSON unchanged, or its text in the API's format. */
record UpdateListener(HttpResponseSender reply) implements QueryListener {

    @Override
    public void onAnswer(Query query, boolean complete) {
        byte[] value = query.parts().get(0).value();
        if (isJsonObject(value)) {
            ApiResponses.sendRaw(reply, value);
            return;
        }
        SearchRequest request = (SearchRequest) query.request().frontContext();
        JsonObject body = new JsonObject();
        body.addProperty("_index", request.index());
        body.addProperty("_id", request.docId());
        body.addProperty("result", "updated");
        body.addProperty("blob", new String(value, StandardCharsets.UTF_8));
        ApiResponses.sendOk(reply, body);
    }

    private static boolean isJsonObject(byte[] value) {
        try {
            StrictJson.parseObject(value);
            return true;
        } catch (JsonParseException e) {
            return false;
        }
    }

    @Override
    public void onRejected(Query query, double retryAfterS) {
        QueryErrors.sendRejected(reply, retryAfterS);
    }

    @Override
    public void onFailed(Query query, boolean overdue) {
        QueryErrors.sendFailed(reply, overdue);
    }

    @Override
    public void pollForDisconnect() {
        reply.pollForDisconnect();
    }
}
