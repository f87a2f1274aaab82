package pepperdock.cli;

import com.google.gson.GsonBuilder;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.Callable;
import pepperdock.config.Config;
import pepperdock.config.ConfigException;
import pepperdock.config.Keys;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The view of a running gatherer, its links and its reasons (docs/membership.md). */
@Command(
        name = "members",
        mixinStandardHelpOptions = true,
        versionProvider = Cli.Version.class,
        description = "Print the members as a running gatherer sees them, and why.")
final class MembersCommand implements Callable<Integer> {

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

    @Parameters(paramLabel = "ADDRESS", description = "Where it may be asked: members.ask of its file, on loopback.")
    private String address;

    @Option(names = "--json", description = "Print what it answers as it is.")
    private boolean json;

    @Option(names = "--watch", paramLabel = "S", description = "Ask again every so many seconds, until interrupted.")
    private Double watch;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws InterruptedException {
        InetSocketAddress at = Config.address("ADDRESS", address);
        if (!at.getAddress().isLoopbackAddress()) {
            throw new ConfigException("ADDRESS", "not a loopback address");
        }
        if (watch != null && !(watch >= 0.1 && watch <= 3600)) {
            throw new ConfigException("--watch", "not between 0.1 and 3600");
        }
        HttpClient client =
                HttpClient.newBuilder().connectTimeout(REQUEST_TIMEOUT).build();
        PrintWriter out = spec.commandLine().getOut();
        while (true) {
            try {
                String answer = client.send(
                                HttpRequest.newBuilder(URI.create("http://" + Config.text(at) + "/members"))
                                        .timeout(REQUEST_TIMEOUT)
                                        .build(),
                                HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8))
                        .body();
                Keys view = Keys.of("answer", Config.parse(answer, "answer"));
                if (json) {
                    out.println(new GsonBuilder().setPrettyPrinting().create().toJson(Config.parse(answer, "answer")));
                } else {
                    print(out, view);
                }
            } catch (ConnectException e) {
                spec.commandLine()
                        .getErr()
                        .println("nobody answers on " + address + "; is members.ask set in its file?");
                if (watch == null) {
                    return 1;
                }
            } catch (IOException e) {
                spec.commandLine().getErr().println("no answer from " + address + ": " + e.getMessage());
                if (watch == null) {
                    return 1;
                }
            }
            if (watch == null) {
                return 0;
            }
            out.flush();
            Thread.sleep(Math.round(watch * 1000));
        }
    }

    private static void print(PrintWriter out, Keys view) {
        out.printf(
                Locale.ROOT,
                "fleet %s as %s sees it, view %d: reaching %d of %d%s%n",
                view.text("fleet"),
                view.text("self"),
                (long) view.number("number"),
                (int) view.number("reached"),
                (int) view.number("of"),
                view.flag("sure", true) ? "" : ", may be the one cut off, calls nobody gone");
        if (view.has("name_taken_by")) {
            out.println("its name is used by another process too, at " + view.text("name_taken_by") + ": it stays out");
        }
        out.printf(
                Locale.ROOT,
                "%-20s %-9s %9s %5s %-12s %-12s %-22s %s%n",
                "member",
                "standing",
                "for s",
                "inc",
                "zone",
                "machine",
                "address",
                "said by observers");
        for (Keys member : view.objects("members")) {
            Keys observations = member.within("said_by");
            StringBuilder text = new StringBuilder();
            observations
                    .names()
                    .forEach(observer -> text.append(text.length() == 0 ? "" : ", ")
                            .append(observer)
                            .append(' ')
                            .append(observations.text(observer)));
            out.printf(
                    Locale.ROOT,
                    "%-20s %-9s %9.1f %5d %-12s %-12s %-22s %s%n",
                    member.text("name"),
                    member.text("standing"),
                    member.number("for_s"),
                    (long) member.number("incarnation"),
                    member.text("zone"),
                    member.text("machine"),
                    member.text("address"),
                    text);
        }
    }
}
