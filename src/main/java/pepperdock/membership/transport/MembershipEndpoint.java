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
import pepperdock.transport.HttpRequestHandler;
import pepperdock.transport.HttpResponseSender;

/**
 * Serves {@code GET /members} on a loopback address: the membership view and its reasons as JSON. Called on the loop.
 */
final class MembershipEndpoint implements HttpRequestHandler {

    private static final String PATH = "/members";
    private static final String JSON = "application/json";
    /** The JSON keys of the counters, in the order of {@link MembershipService#counts}. */
    private static final String[] COUNTERS = {
        "datagrams_sent", "bytes_sent", "withheld_for_budget", "of_other_fleets", "not_to_be_read"
    };

    private final MembershipService service;

    MembershipEndpoint(MembershipService service) {
        this.service = service;
    }

    @Override
    public Runnable serve(HttpMessage request, HttpResponseSender reply) throws HttpException {
        if (!request.path().equals(PATH)) {
            throw new HttpException(404, "only /members is here");
        }
        if (!request.method().equals("GET") && !request.method().equals("HEAD")) {
            throw new HttpException(405, "only GET");
        }
        reply.send(200, JSON, "", json().toString().getBytes(StandardCharsets.UTF_8));
        return () -> {};
    }

    @Override
    public void respondWithError(int status, String why, HttpResponseSender reply) {
        JsonObject error = new JsonObject();
        error.addProperty("error", why);
        reply.send(status, JSON, "", error.toString().getBytes(StandardCharsets.UTF_8));
    }

    private JsonObject json() {
        MembershipView view = service.view();
        JsonObject json = new JsonObject();
        json.addProperty("fleet", service.config().fleet());
        json.addProperty("self", view.self());
        json.addProperty("number", view.number());
        json.addProperty("sure", view.hasMajority());
        json.addProperty("reached", view.reachable());
        json.addProperty("of", view.fleetSize());
        if (!view.nameConflictAddress().isEmpty()) {
            json.addProperty("name_taken_by", view.nameConflictAddress());
        }
        JsonArray members = new JsonArray();
        view.members().forEach(member -> members.add(json(member)));
        json.add("members", members);
        json.add("counts", counters());
        return json;
    }

    private JsonObject json(MembershipView.Member member) {
        JsonObject json = new JsonObject();
        json.addProperty("name", member.name());
        json.addProperty("zone", member.zone());
        json.addProperty("machine", member.machine());
        json.addProperty("address", member.address());
        json.addProperty("life", Long.toHexString(member.generation()));
        json.addProperty("incarnation", member.incarnation());
        json.addProperty("standing", MemberStateNames.of(member.state()));
        json.addProperty("for_s", Math.round((service.clock().now() - member.since()) * 10) / 10.0);
        JsonObject observations = new JsonObject();
        for (Map.Entry<String, Observation> observation : new TreeMap<>(member.observations()).entrySet()) {
            observations.addProperty(
                    observation.getKey(), observation.getValue().operatorsWord());
        }
        json.add("said_by", observations);
        return json;
    }

    private JsonObject counters() {
        long[] counts = service.counts();
        JsonObject json = new JsonObject();
        for (int i = 0; i < COUNTERS.length; i++) {
            json.addProperty(COUNTERS[i], counts[i]);
        }
        return json;
    }
}
