package pepperdock.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import pepperdock.core.WorkerEndpoint;
import pepperdock.scheduler.EndpointState;

/** A node list in discovery's form: its version, whether it is the whole list, and its entries. */
public record HostList(long seq, boolean whole, List<WorkerEndpoint> hosts) {

    private static final Map<String, EndpointState> HEALTH = Map.of(
            "in_service",
            EndpointState.HEALTHY,
            "terminating",
            EndpointState.DRAINING,
            "terminated",
            EndpointState.REMOVED);

    /** Decodes the body of an answer; throws {@link ConfigException} for whatever it is not. */
    public static HostList parse(String json, Site site) {
        try {
            return read(Keys.of("list", JsonParser.parseString(json)), site);
        } catch (JsonParseException e) {
            throw new ConfigException("list", "not JSON");
        }
    }

    public static HostList read(Keys list, Site site) {
        List<WorkerEndpoint> hosts = new ArrayList<>();
        for (Keys h : list.objects("hosts")) {
            EndpointState readiness = HEALTH.get(h.text("health"));
            if (readiness == null) {
                throw new ConfigException(h.key("health"), "unknown state " + h.text("health"));
            }
            hosts.add(new WorkerEndpoint(
                    h.text("host"),
                    h.text("dial", ""),
                    index(site.zones(), h.text("site", "")),
                    index(site.kinds(), h.text("class", "")),
                    h.whole("block", 0, 1 << 24),
                    readiness,
                    h.number("share", 1),
                    h.number("born_ms", 0) / 1e3));
        }
        return new HostList((long) list.number("seq", 0), list.flag("whole", false), List.copyOf(hosts));
    }

    /** No entry at all: what is known before anyone has told. */
    public static HostList none() {
        return read(new Keys("known", new JsonObject()), null);
    }

    /** The same form written, for the store; {@link #parse} reads it. */
    public static String write(Collection<WorkerEndpoint> hosts, Site site) {
        JsonArray list = new JsonArray();
        for (WorkerEndpoint h : hosts) {
            JsonObject o = new JsonObject();
            o.addProperty("host", h.id());
            o.addProperty("dial", h.address());
            o.addProperty("site", h.zone() < site.zones().size() ? site.zones().get(h.zone()) : "");
            o.addProperty("class", h.kind() < site.kinds().size() ? site.kinds().get(h.kind()) : "");
            o.addProperty("block", h.cell());
            o.addProperty(
                    "health",
                    HEALTH.entrySet().stream()
                            .filter(e -> e.getValue() == h.state())
                            .findFirst()
                            .orElseThrow()
                            .getKey());
            o.addProperty("share", h.weight());
            o.addProperty("born_ms", Math.round(h.startedAtS() * 1e3));
            list.add(o);
        }
        JsonObject all = new JsonObject();
        all.addProperty("whole", true);
        all.add("hosts", list);
        return all.toString();
    }

    private static int index(List<String> names, String name) {
        return Math.max(0, names.indexOf(name));
    }
}
