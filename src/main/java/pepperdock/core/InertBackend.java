package pepperdock.core;

import java.util.List;
import java.util.Map;

/** A backend that opens and sends nothing; stand-ins override what they need. */
public class InertBackend implements Backend {

    @Override
    public void send(String worker, List<Attempt> call) {}

    @Override
    public void cancel(Attempt attempt) {}

    @Override
    public void probe(String worker) {}

    @Override
    public void dropConnections(String worker) {}

    @Override
    public void listed(Map<String, Host> hosts) {}
}
