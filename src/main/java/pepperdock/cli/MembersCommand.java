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
import pepperdock.config.ConfigReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Prints the membership view of a running gatherer and the reasons for it, as {@code GET /members} returns them
 * (docs/membership.md).
 */
@Command(
        name = "members",
        mixinStandardHelpOptions = true,
        versionProvider = Cli.Version.class,
        description = "Print the members as a running gatherer sees them, and the reasons.")
final class MembersCommand implements Callable<Integer> {

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
    private static final double MIN_WATCH_S = 0.1;
    private static final double MAX_WATCH_S = 3600;
    private static final String ROW = "%-20s %-9s %9s %5s %-12s %-12s %-22s %s%n";

    @Parameters(
            paramLabel = "ADDRESS",
            description = "The gatherer's loopback address for this: members.ask in its configuration file.")
    private String address;

    @Option(names = "--json", description = "Print the response of the gatherer as JSON.")
    private boolean json;

    @Option(names = "--watch", paramLabel = "S", description = "Repeat the request every S seconds, until interrupted.")
    private Double watch;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws InterruptedException {
        InetSocketAddress endpoint = Config.parseAddress("ADDRESS", address);
        if (!endpoint.getAddress().isLoopbackAddress()) {
            throw new ConfigException("ADDRESS", "must be a loopback address");
        }
        if (watch != null && !(watch >= MIN_WATCH_S && watch <= MAX_WATCH_S)) {
            throw new ConfigException("--watch", "must be from 0.1 to 3600");
        }
        HttpClient client =
                HttpClient.newBuilder().connectTimeout(REQUEST_TIMEOUT).build();
        while (true) {
            boolean answered = printView(client, endpoint);
            if (watch == null) {
                return answered ? 0 : 1;
            }
            spec.commandLine().getOut().flush();
            Thread.sleep(Math.round(watch * 1000));
        }
    }

    /** Sends one request and prints the view; prints an error and returns false if there is no response. */
    private boolean printView(HttpClient client, InetSocketAddress endpoint) throws InterruptedException {
        try {
            String answer = request(client, endpoint);
            ConfigReader view = ConfigReader.of("answer", Config.parse(answer, "answer"));
            PrintWriter out = spec.commandLine().getOut();
            if (json) {
                out.println(new GsonBuilder().setPrettyPrinting().create().toJson(Config.parse(answer, "answer")));
            } else {
                printTable(out, view);
            }
            return true;
        } catch (ConnectException e) {
            spec.commandLine()
                    .getErr()
                    .println("can't connect to " + address
                            + "; is members.ask set to it in the gatherer's configuration file?");
        } catch (IOException e) {
            spec.commandLine().getErr().println("no response from " + address + ": " + e.getMessage());
        }
        return false;
    }

    private static String request(HttpClient client, InetSocketAddress endpoint)
            throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + Config.formatAddress(endpoint) + "/members"))
                .timeout(REQUEST_TIMEOUT)
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8))
                .body();
    }

    private static void printTable(PrintWriter out, ConfigReader view) {
        out.printf(
                Locale.ROOT,
                "fleet %s as %s sees it, view %d: reaching %d of %d%s%n",
                view.text("fleet"),
                view.text("self"),
                (long) view.number("number"),
                (int) view.number("reached"),
                (int) view.number("of"),
                view.flag("sure", true) ? "" : ", may itself be cut off and declares no member gone");
        if (view.has("name_taken_by")) {
            out.println("another process uses the same name, at " + view.text("name_taken_by")
                    + ": this gatherer does not join");
        }
        out.printf(
                Locale.ROOT,
                ROW,
                "member",
                "standing",
                "for s",
                "inc",
                "zone",
                "machine",
                "address",
                "said by observers");
        view.objects("members").forEach(member -> printMember(out, member));
    }

    private static void printMember(PrintWriter out, ConfigReader member) {
        ConfigReader observations = member.optionalObject("said_by");
        StringBuilder saidBy = new StringBuilder();
        for (String observer : observations.names()) {
            saidBy.append(saidBy.length() == 0 ? "" : ", ")
                    .append(observer)
                    .append(' ')
                    .append(observations.text(observer));
        }
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
                saidBy);
    }
}
