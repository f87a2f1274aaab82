package pepperdock.membership.transport;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import pepperdock.codec.http.HttpException;
import pepperdock.codec.http.HttpMessage;
import pepperdock.membership.View;
import pepperdock.membership.Word;
import pepperdock.transport.HttpServer;

/** {@code GET /members} on a loopback address: the view, with its reasons, as JSON. */
final class Asked implements HttpServer.Service {

    private final Members members;

    Asked(Members members) {
        this.members = members;
    }

    @Override
    public Runnable serve(HttpMessage request, HttpServer.Reply reply) throws HttpException {
        if (!request.path().equals("/members")) {
            throw new HttpException(404, "only /members is here");
        }
        if (!request.method().equals("GET") && !request.method().equals("HEAD")) {
            throw new HttpException(405, "only GET");
        }
        reply.send(200, "application/json", "", json().toString().getBytes(StandardCharsets.UTF_8));
        return () -> {};
    }

    @Override
    public void malformed(int status, String why, HttpServer.Reply reply) {
        JsonObject o = new JsonObject();
        o.addProperty("error", why);
        reply.send(status, "application/json", "", o.toString().getBytes(StandardCharsets.UTF_8));
    }

    private JsonObject json() {
        View v = members.view();
        JsonObject all = new JsonObject();
        all.addProperty("fleet", members.config().fleet());
        all.addProperty("self", v.self());
        all.addProperty("number", v.number());
        all.addProperty("sure", v.sure());
        all.addProperty("reached", v.reached());
        all.addProperty("of", v.fleet());
        if (!v.taken().isEmpty()) {
            all.addProperty("name_taken_by", v.taken());
        }
        JsonArray list = new JsonArray();
        for (View.Member m : v.members()) {
            JsonObject o = new JsonObject();
            o.addProperty("name", m.name());
            o.addProperty("zone", m.zone());
            o.addProperty("machine", m.machine());
            o.addProperty("address", m.address());
            o.addProperty("life", Long.toHexString(m.life()));
            o.addProperty("incarnation", m.incarnation());
            o.addProperty("standing", Members.words(m.standing()));
            o.addProperty("for_s", Math.round((members.clock().now() - m.since()) * 10) / 10.0);
            JsonObject said = new JsonObject();
            for (Map.Entry<String, Word> s : new TreeMap<>(m.said()).entrySet()) {
                said.addProperty(s.getKey(), s.getValue().name().toLowerCase(java.util.Locale.ROOT));
            }
            o.add("said_by", said);
            list.add(o);
        }
        all.add("members", list);
        long[] c = members.counts();
        JsonObject counts = new JsonObject();
        String[] names = {"datagrams_sent", "bytes_sent", "withheld_for_budget", "of_other_fleets", "not_to_be_read"};
        for (int i = 0; i < names.length; i++) {
            counts.addProperty(names[i], c[i]);
        }
        all.add("counts", counts);
        return all;
    }
}
