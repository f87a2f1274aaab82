package pepperdock.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pepperdock.core.Clock;

class EventLoopTest {

    private static final double SOON_S = 0.001;

    private final EventLoop loop = new EventLoop(10, 1 << 10);

    EventLoopTest() throws IOException {}

    @AfterEach
    void close() {
        loop.close();
    }

    /**
     * Blocks the loop until both timers are due. Guards against a second timer that runs although cancelled, because
     * both left the queue together.
     */
    @Test
    void timerCancelledInTheTurnInWhichItExpiresDoesNotRun() throws Exception {
        List<String> ran = new ArrayList<>();
        CompletableFuture<List<String>> result = new CompletableFuture<>();
        loop.execute(() -> {
            Clock.Timer[] second = {null};
            loop.after(SOON_S, () -> {
                ran.add("first");
                second[0].cancel();
            });
            second[0] = loop.after(2 * SOON_S, () -> ran.add("second"));
            double due = loop.now() + 4 * SOON_S;
            while (loop.now() < due) {
                Thread.onSpinWait();
            }
            loop.after(SOON_S, () -> result.complete(List.copyOf(ran)));
        });
        assertEquals(List.of("first"), result.get(30, TimeUnit.SECONDS));
    }
}
