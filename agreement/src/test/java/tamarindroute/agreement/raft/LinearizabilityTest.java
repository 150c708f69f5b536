package tamarindroute.agreement.raft;

import static org.assertj.core.api.Assertions.assertThat;

import io.microraft.QueryPolicy;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tamarindroute.agreement.Agreement.ProposalStatus;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.MembershipView;
import tamarindroute.agreement.raft.LinearizabilityChecker.Operation;
import tamarindroute.agreement.raft.LinearizabilityChecker.Result;

class LinearizabilityTest {

  private static final String KEY = "level/1";

  /**
   * One that reads and then puts what follows on what it read, at any voter; one thing at a time.
   */
  private static final class Client {
    private final SimulatedCluster world;
    private final List<Operation> history;
    private MembershipView read;
    private boolean busy;
    private int turn;

    Client(SimulatedCluster world, List<Operation> history) {
      this.world = world;
      this.history = history;
    }

    private static int value(MembershipView view) {
      return view.entries().containsKey(KEY)
          ? ByteBuffer.wrap(view.entries().get(KEY).value()).getInt()
          : 0;
    }

    void next(SimulatedCluster.Node at, int unique) {
      boolean up = at.voter != null && !at.paused;
      if (busy || !up) {
        return;
      }
      busy = true;
      int mine = ++turn;
      long call = world.nowMicros;
      if (read == null) {
        at.voter.read(
            view -> {
              if (mine == turn) {
                busy = false;
                read = view.orElse(null);
                view.ifPresent(
                    it ->
                        history.add(
                            new Operation(Result.READ, value(it), 0, call, world.nowMicros)));
              }
            });
      } else {
        put(at, unique, mine, call);
      }
    }

    private void put(SimulatedCluster.Node at, int unique, int mine, long call) {
      int from = value(read);
      int place = history.size();
      history.add(new Operation(Result.UNKNOWN, from, unique, call, Long.MAX_VALUE));
      byte[] value = ByteBuffer.allocate(4).putInt(unique).array();
      at.voter.propose(
          new Command.Put(KEY, read.baseNumber(KEY), "t", value),
          outcome -> {
            if (mine != turn) {
              return;
            }
            busy = false;
            read = null;
            ProposalStatus fate = outcome.status();
            if (fate == ProposalStatus.COMMITTED || fate == ProposalStatus.REJECTED) {
              history.set(
                  place,
                  new Operation(
                      fate == ProposalStatus.COMMITTED ? Result.DONE : Result.REFUSED,
                      from,
                      unique,
                      call,
                      world.nowMicros));
            } else if (fate != ProposalStatus.UNKNOWN) {
              history.set(place, new Operation(Result.REFUSED, -1, unique, call, world.nowMicros));
            }
          });
    }

    /** Its voter was killed: it does not wait. */
    void giveUp() {
      turn++;
      busy = false;
      read = null;
    }
  }

  private static List<Operation> recordHistory(long seed, int voters, QueryPolicy reading) {
    SimulatedCluster world = new SimulatedCluster(seed, voters, reading);
    world.awaitLeader();
    world.lossPercent = (int) (seed % 3) * 10;
    List<Operation> history = new ArrayList<>();
    List<Client> clients = IntStream.range(0, 3).mapToObj(i -> new Client(world, history)).toList();
    for (int turn = 1; history.size() < 60 && turn < 600; turn++) {
      int one = world.randomBelow(voters);
      switch (world.randomBelow(30)) {
        case 0 -> world.setIsolated(one, voters, true);
        case 1, 2, 3 -> world.setIsolated(one, voters, false);
        case 4 -> world.node(one).pause(true);
        case 5, 6 -> world.node(one).pause(false);
        case 7 -> {
          world.node(one).kill();
          world.node(one).start(1);
          clients.forEach(Client::giveUp);
        }
        default -> clients.get(turn % 3).next(world.node(one), turn);
      }
      world.run(Duration.ofMillis(world.randomBelow(200)));
    }
    assertThat(world.violations).isEmpty();
    return history;
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 5})
  void putsAndReadsAreLinearizable(int voters) {
    int done = 0;
    int unknown = 0;
    for (int seed = 0; seed < 25; seed++) {
      List<Operation> history = recordHistory(seed, voters, QueryPolicy.LINEARIZABLE);
      assertThat(LinearizabilityChecker.isLinearizable(history))
          .as("seed " + seed + ": " + history)
          .isTrue();
      done += (int) history.stream().filter(one -> one.result() == Result.DONE).count();
      unknown += (int) history.stream().filter(one -> one.result() == Result.UNKNOWN).count();
    }
    assertThat(done).isGreaterThan(80);
    assertThat(unknown).isPositive();
  }

  @Test
  void checkerDetectsReadsWithoutQuorum() {
    assertThat(
            IntStream.range(0, 40)
                .allMatch(
                    seed ->
                        LinearizabilityChecker.isLinearizable(
                            recordHistory(seed, 3, QueryPolicy.EVENTUAL_CONSISTENCY))))
        .isFalse();
  }

  @Test
  void checkerDetectsTwoWritesFromSameBase() {
    Operation one = new Operation(Result.DONE, 0, 1, 0, 10);
    Operation other = new Operation(Result.DONE, 0, 2, 5, 20);
    assertThat(LinearizabilityChecker.isLinearizable(List.of(one, other))).isFalse();
    assertThat(
            LinearizabilityChecker.isLinearizable(
                List.of(one, new Operation(Result.REFUSED, 0, 2, 5, 20))))
        .isTrue();
    assertThat(
            LinearizabilityChecker.isLinearizable(
                List.of(one, new Operation(Result.READ, 0, 0, 11, 12))))
        .as("old read")
        .isFalse();
    assertThat(
            LinearizabilityChecker.isLinearizable(
                List.of(one, new Operation(Result.READ, 0, 0, 5, 12))))
        .isTrue();
    assertThat(
            LinearizabilityChecker.isLinearizable(
                List.of(
                    new Operation(Result.UNKNOWN, 0, 3, 0, Long.MAX_VALUE),
                    new Operation(Result.READ, 3, 0, 50, 60))))
        .isTrue();
  }
}
