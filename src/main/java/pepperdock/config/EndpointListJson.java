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

/**
 * An endpoint list in the JSON format of discovery. Only this class knows the JSON keys. Immutable.
 *
 * @param seq the version of the list
 * @param whole whether this is the complete list rather than a change to one
 * @param hosts the entries
 */
public record EndpointListJson(long seq, boolean whole, List<WorkerEndpoint> hosts) {

    private static final String SEQ = "seq";
    private static final String COMPLETE = "whole";
    private static final String ENTRIES = "hosts";
    private static final String ID = "host";
    private static final String ADDRESS = "dial";
    private static final String ZONE_NAME = "site";
    private static final String KIND_NAME = "class";
    private static final String CELL = "block";
    private static final int MAX_CELL = 1 << 24;
    private static final String STATE = "health";
    private static final String WEIGHT = "share";
    private static final String STARTED_AT_MS = "born_ms";
    private static final double MS_PER_S = 1e3;

    private static final Map<String, EndpointState> STATES = Map.of(
            "in_service",
            EndpointState.HEALTHY,
            "terminating",
            EndpointState.DRAINING,
            "terminated",
            EndpointState.REMOVED);

    /**
     * Parses the body of a response of discovery.
     *
     * @throws ConfigException if the body is not an endpoint list
     */
    public static EndpointListJson parse(String json, DeploymentSettings site) {
        try {
            return read(ConfigReader.of("list", JsonParser.parseString(json)), site);
        } catch (JsonParseException e) {
            throw new ConfigException("list", "not valid JSON");
        }
    }

    /** Reads a list from its JSON object. */
    public static EndpointListJson read(ConfigReader list, DeploymentSettings site) {
        List<WorkerEndpoint> hosts = new ArrayList<>();
        for (ConfigReader entry : list.objects(ENTRIES)) {
            EndpointState state = STATES.get(entry.text(STATE));
            if (state == null) {
                throw new ConfigException(
                        entry.key(STATE), "must be in_service, terminating or terminated, but is " + entry.text(STATE));
            }
            hosts.add(new WorkerEndpoint(
                    entry.text(ID),
                    entry.text(ADDRESS, ""),
                    index(site.zones(), entry.text(ZONE_NAME, "")),
                    index(site.kinds(), entry.text(KIND_NAME, "")),
                    entry.integer(CELL, 0, MAX_CELL),
                    state,
                    entry.number(WEIGHT, 1),
                    entry.number(STARTED_AT_MS, 0) / MS_PER_S));
        }
        return new EndpointListJson((long) list.number(SEQ, 0), list.flag(COMPLETE, false), List.copyOf(hosts));
    }

    /** Returns the empty list, which is used until the first list has arrived. */
    public static EndpointListJson none() {
        return read(new ConfigReader("known", new JsonObject()), null);
    }

    /** Returns a complete list in the same format without a version, for the store; {@link #parse} reads it. */
    public static String write(Collection<WorkerEndpoint> hosts, DeploymentSettings site) {
        JsonObject list = new JsonObject();
        list.addProperty(COMPLETE, true);
        list.add(ENTRIES, entries(hosts, site));
        return list.toString();
    }

    /** Returns a complete list of this version as the JSON object that {@link #read} reads. */
    public static JsonObject toJson(long seq, Collection<WorkerEndpoint> hosts, DeploymentSettings site) {
        JsonObject list = new JsonObject();
        list.addProperty(SEQ, seq);
        list.addProperty(COMPLETE, true);
        list.add(ENTRIES, entries(hosts, site));
        return list;
    }

    private static JsonArray entries(Collection<WorkerEndpoint> hosts, DeploymentSettings site) {
        JsonArray entries = new JsonArray();
        for (WorkerEndpoint host : hosts) {
            JsonObject entry = new JsonObject();
            entry.addProperty(ID, host.id());
            entry.addProperty(ADDRESS, host.address());
            entry.addProperty(ZONE_NAME, name(site.zones(), host.zone()));
            entry.addProperty(KIND_NAME, name(site.kinds(), host.kind()));
            entry.addProperty(CELL, host.cell());
            entry.addProperty(STATE, name(host.state()));
            entry.addProperty(WEIGHT, host.weight());
            entry.addProperty(STARTED_AT_MS, Math.round(host.startedAtS() * MS_PER_S));
            entries.add(entry);
        }
        return entries;
    }

    private static String name(EndpointState state) {
        return STATES.entrySet().stream()
                .filter(entry -> entry.getValue() == state)
                .findFirst()
                .orElseThrow()
                .getKey();
    }

    private static String name(List<String> names, int index) {
        return index < names.size() ? names.get(index) : "";
    }

    private static int index(List<String> names, String name) {
        return Math.max(0, names.indexOf(name));
    }
}
