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
import tamarindroute.agreement.Agreement.Fate;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.View;
import tamarindroute.agreement.raft.Linear.Op;
import tamarindroute.agreement.raft.Linear.Told;

class LinearTest {

  private static final String KEY = "level/1";

  /**
   * One that reads and then puts what follows on what it read, at any voter; one thing at a time.
   */
  private static final class Client {
    private final World world;
    private final List<Op> history;
    private View read;
    private boolean busy;
    private int turn;

    Client(World world, List<Op> history) {
      this.world = world;
      this.history = history;
    }

    private static int value(View view) {
      return view.entries().containsKey(KEY)
          ? ByteBuffer.wrap(view.entries().get(KEY).value()).getInt()
          : 0;
    }

    void next(World.Node at, int unique) {
      boolean up = at.voter != null && !at.paused;
      if (busy || !up) {
        return;
      }
      busy = true;
      int mine = ++turn;
      long call = world.micros;
      if (read == null) {
        at.voter.read(
            view -> {
              if (mine == turn) {
                busy = false;
                read = view.orElse(null);
                view.ifPresent(
                    it -> history.add(new Op(Told.READ, value(it), 0, call, world.micros)));
              }
            });
      } else {
        put(at, unique, mine, call);
      }
    }

    private void put(World.Node at, int unique, int mine, long call) {
      int from = value(read);
      int place = history.size();
      history.add(new Op(Told.UNKNOWN, from, unique, call, Long.MAX_VALUE));
      byte[] value = ByteBuffer.allocate(4).putInt(unique).array();
      at.voter.propose(
          new Command.Put(KEY, read.from(KEY), "t", value),
          outcome -> {
            if (mine != turn) {
              return;
            }
            busy = false;
            read = null;
            Fate fate = outcome.fate();
            if (fate == Fate.AGREED || fate == Fate.REFUSED) {
              history.set(
                  place,
                  new Op(
                      fate == Fate.AGREED ? Told.DONE : Told.REFUSED,
                      from,
                      unique,
                      call,
                      world.micros));
            } else if (fate != Fate.UNKNOWN) {
              history.set(place, new Op(Told.REFUSED, -1, unique, call, world.micros));
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

  private static List<Op> played(long seed, int voters, QueryPolicy reading) {
    World world = new World(seed, voters, reading);
    world.awaitLeader();
    world.loss = (int) (seed % 3) * 10;
    List<Op> history = new ArrayList<>();
    List<Client> clients = IntStream.range(0, 3).mapToObj(i -> new Client(world, history)).toList();
    for (int turn = 1; history.size() < 60 && turn < 600; turn++) {
      int one = world.chance(voters);
      switch (world.chance(30)) {
        case 0 -> world.cutOff(one, voters, true);
        case 1, 2, 3 -> world.cutOff(one, voters, false);
        case 4 -> world.node(one).pause(true);
        case 5, 6 -> world.node(one).pause(false);
        case 7 -> {
          world.node(one).kill();
          world.node(one).start(1);
          clients.forEach(Client::giveUp);
        }
        default -> clients.get(turn % 3).next(world.node(one), turn);
      }
      world.run(Duration.ofMillis(world.chance(200)));
    }
    assertThat(world.breaches).isEmpty();
    return history;
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 5})
  void putsAndReadsAreThoseOfASingleRegister(int voters) {
    int done = 0;
    int unknown = 0;
    for (int seed = 0; seed < 25; seed++) {
      List<Op> history = played(seed, voters, QueryPolicy.LINEARIZABLE);
      assertThat(Linear.holds(history)).as("seed " + seed + ": " + history).isTrue();
      done += (int) history.stream().filter(one -> one.told() == Told.DONE).count();
      unknown += (int) history.stream().filter(one -> one.told() == Told.UNKNOWN).count();
    }
    assertThat(done).isGreaterThan(80);
    assertThat(unknown).isPositive();
  }

  @Test
  void theCheckerFindsReadsWithoutMostVotersWord() {
    assertThat(
            IntStream.range(0, 40)
                .allMatch(seed -> Linear.holds(played(seed, 3, QueryPolicy.EVENTUAL_CONSISTENCY))))
        .isFalse();
  }

  @Test
  void theCheckerFindsTwoThatWonFromTheSame() {
    Op one = new Op(Told.DONE, 0, 1, 0, 10);
    Op other = new Op(Told.DONE, 0, 2, 5, 20);
    assertThat(Linear.holds(List.of(one, other))).isFalse();
    assertThat(Linear.holds(List.of(one, new Op(Told.REFUSED, 0, 2, 5, 20)))).isTrue();
    assertThat(Linear.holds(List.of(one, new Op(Told.READ, 0, 0, 11, 12))))
        .as("old read")
        .isFalse();
    assertThat(Linear.holds(List.of(one, new Op(Told.READ, 0, 0, 5, 12)))).isTrue();
    assertThat(
            Linear.holds(
                List.of(
                    new Op(Told.UNKNOWN, 0, 3, 0, Long.MAX_VALUE),
                    new Op(Told.READ, 3, 0, 50, 60))))
        .isTrue();
  }
}
