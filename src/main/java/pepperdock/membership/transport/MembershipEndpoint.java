package pepperdock.membership.transport;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import pepperdock.codec.http.HttpException;
import pepperdock.codec.http.HttpMessage;
import pepperdock.membership.MembershipView;
import pepperdock.membership.Observation;
import pepperdock.transport.HttpServer;

/** {@code GET /members} on a loopback address: the view, with its reasons, as JSON. */
final class MembershipEndpoint implements HttpServer.Service {

    private final MembershipService service;

    MembershipEndpoint(MembershipService members) {
        this.service = members;
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
        JsonObject error = new JsonObject();
        error.addProperty("error", why);
        reply.send(status, "application/json", "", error.toString().getBytes(StandardCharsets.UTF_8));
    }

    private JsonObject json() {
        MembershipView view = service.view();
        JsonObject all = new JsonObject();
        all.addProperty("fleet", service.config().fleet());
        all.addProperty("self", view.self());
        all.addProperty("number", view.number());
        all.addProperty("sure", view.hasMajority());
        all.addProperty("reached", view.reachable());
        all.addProperty("of", view.fleetSize());
        if (!view.nameConflictAddress().isEmpty()) {
            all.addProperty("name_taken_by", view.nameConflictAddress());
        }
        JsonArray list = new JsonArray();
        for (MembershipView.Member member : view.members()) {
            JsonObject json = new JsonObject();
            json.addProperty("name", member.name());
            json.addProperty("zone", member.zone());
            json.addProperty("machine", member.machine());
            json.addProperty("address", member.address());
            json.addProperty("life", Long.toHexString(member.generation()));
            json.addProperty("incarnation", member.incarnation());
            json.addProperty("standing", OperatorWords.of(member.state()));
            json.addProperty("for_s", Math.round((service.clock().now() - member.since()) * 10) / 10.0);
            JsonObject said = new JsonObject();
            for (Map.Entry<String, Observation> observation : new TreeMap<>(member.observations()).entrySet()) {
                said.addProperty(observation.getKey(), observation.getValue().operatorsWord());
            }
            json.add("said_by", said);
            list.add(json);
        }
        all.add("members", list);
        long[] values = service.counts();
        JsonObject counts = new JsonObject();
        String[] names = {"datagrams_sent", "bytes_sent", "withheld_for_budget", "of_other_fleets", "not_to_be_read"};
        for (int i = 0; i < names.length; i++) {
            counts.addProperty(names[i], values[i]);
        }
        all.add("counts", counts);
        return all;
    }
}
