package tamarindroute.rig.play;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import tamarindroute.example.ToyServer;
import tamarindroute.rig.journal.Journal;
import tamarindroute.rig.proxy.Proxies;
import tamarindroute.rig.schedule.Schedule;

/** How a process of each kind is started, and by what it shows that it is ready. */
final class Commands {

    private final Schedule schedule;
    private final Path folder;
    private final Map<String, Integer> ports;
    private final Town town;
    /** The proxies' ports by the directed way, as "1 2". */
    private final Map<String, Integer> ways = new java.util.HashMap<>();

    Commands(Schedule schedule, Path folder, Map<String, Integer> ports, Town town, Proxies proxies)
            throws IOException {
        this.schedule = schedule;
        this.folder = folder;
        this.ports = ports;
        this.town = town;
        if (schedule.kind != Schedule.Kind.GATEWAYS) {
            for (String one : ports.keySet()) {
                for (String other : ports.keySet()) {
                    if (!one.equals(other)) {
                        ways.put(one + " " + other, proxies.open(one, other,
                                new InetSocketAddress("127.0.0.1", ports.get(other))));
                    }
                }
            }
        }
    }

    ProcessBuilder make(String name, Duration clock) throws IOException {
        return switch (schedule.kind) {
            case GATEWAYS -> gateway(name);
            case MEMBERS -> throw new IOException("members can't be started yet");
            case STAND_INS -> standIn(name);
        };
    }

    private ProcessBuilder gateway(String name) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("deploy/serve.sh");
        builder.environment().put("EDGE_CONFIG", town.configure(name, ports.get(name), folder).toAbsolutePath().toString());
        return builder;
    }

    private ProcessBuilder standIn(String name) {
        List<String> words = new ArrayList<>(List.of("java", "-Xmx32m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
                "-cp", classes(), StandInMember.class.getName(), name, String.valueOf(ports.get(name))));
        for (String other : ports.keySet()) {
            if (!other.equals(name)) {
                words.add(other + "=" + ways.get(name + " " + other));
            }
        }
        return new ProcessBuilder(words);
    }

    private static String classes() {
        return Path.of(java.net.URI.create(StandInMember.class.getProtectionDomain().getCodeSource().getLocation()
                .toString())).toString();
    }

    /** A gateway is ready once it says GREEN, a stand-in once it prints so. */
    void awaitReady(Actor actor, Journal journal, Duration longest) throws IOException, InterruptedException {
        if (schedule.kind == Schedule.Kind.STAND_INS) {
            if (!journal.await(line -> line.by(actor.name) && line.text().equals("ready"), longest)) {
                throw new IOException("process " + actor.name + " did not start");
            }
            return;
        }
        long end = System.nanoTime() + longest.toNanos();
        while (System.nanoTime() < end && actor.alive()) {
            try (ToyServer.Client client = new ToyServer.Client(new InetSocketAddress("127.0.0.1", actor.port))) {
                client.send("RPC.HEALTH", 1, "");
                if (new String(client.read().get(1), StandardCharsets.UTF_8).equals("GREEN")) {
                    return;
                }
            } catch (SocketException e) {
                // It doesn't listen yet.
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        throw new IOException("gateway " + actor.name + " did not start: " + journal.lines().stream()
                .filter(line -> line.by(actor.name)).map(Object::toString).toList());
    }
}
