package pepperdock.simulator;

import com.google.gson.stream.JsonWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import pepperdock.scheduler.Scheduler;
import pepperdock.scheduler.SchedulerActions;
import pepperdock.scheduler.SchedulerSettings;

/** One instance: its module, and its actions written to the wire. */
final class Instance implements SchedulerActions {
    private final Writer out;
    private final int number;
    private Scheduler module;
    /** Has had an event in the batch in hand. */
    boolean touched;

    Instance(Writer out, int number) {
        this.out = out;
        this.number = number;
    }

    void create(SchedulerSettings settings, long salt) {
        module = Scheduler.create(settings, salt, this);
    }

    /** Hands an event on; a failure of the module ends in a {@code Broken} for this instance alone. */
    void tell(java.util.function.Consumer<Scheduler> event) {
        try {
            event.accept(module);
        } catch (RuntimeException e) {
            if (e instanceof UncheckedIOException) {
                throw e;
            }
            StackTraceElement[] at = e.getStackTrace();
            emit("Broken", json -> json.name("NoteText").value(e + (at.length > 0 ? " at " + at[0] : "")));
        }
    }

    @Override
    public void sendAttempt(long part, String searcher, double until) {
        emit("Try", json -> {
            json.name("Tid").value(part);
            json.name("Searcher").value(searcher);
            json.name("UntilS").value(until);
        });
    }

    @Override
    public void cancelAttempt(long part, int attempt) {
        emit("UndoSend", json -> {
            json.name("Tid").value(part);
            json.name("SeqNo").value(attempt);
        });
    }

    @Override
    public void answerQuery(long query, boolean whole) {
        emit("Conclude", json -> {
            json.name("Tid").value(query);
            json.name("Whole").value(whole);
        });
    }

    @Override
    public void rejectQuery(long query, double pauseS) {
        emit("Shed", json -> {
            json.name("Tid").value(query);
            json.name("PauseS").value(pauseS);
        });
    }

    @Override
    public void failQuery(long query) {
        emit("EndFailed", json -> json.name("Tid").value(query));
    }

    @Override
    public void checkHealth(String searcher) {
        emit("HealthCheck", json -> json.name("Searcher").value(searcher));
    }

    @Override
    public void closeIdleConnections(String searcher) {
        emit("DropConns", json -> json.name("Searcher").value(searcher));
    }

    @Override
    public void setTimer(double afterS, String token) {
        emit("SetTimer", json -> {
            json.name("FromNowS").value(afterS);
            json.name("Cookie").value(token);
        });
    }

    @Override
    public void watchEndpointList() {
        emit("KeepInformed", json -> json.name("Whole").value(true));
    }

    @Override
    public void log(String text) {
        emit("Print", json -> json.name("NoteText").value(text));
    }

    private void emit(String cmd, Fields fields) {
        try {
            JsonWriter json = new JsonWriter(out);
            json.beginObject().name("cmd").value(cmd).name("Mixer").value(number);
            fields.write(json);
            json.endObject();
            out.write('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The fields of an action beside its name and instance. */
    private interface Fields {
        void write(JsonWriter json) throws IOException;
    }
}
