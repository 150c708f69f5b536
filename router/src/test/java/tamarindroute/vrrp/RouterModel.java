package tamarindroute.vrrp;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Virtual routers on a simulated network, as a function from one world to the next. Time advances
 * in ticks. All times in a state are relative to a constant current time, so that worlds with the
 * same future are equal and explored once.
 */
final class RouterModel {

  private static final Duration TICK = Duration.ofMillis(10);

  /** The current time in all states, later than any duration in them. */
  static final Duration NOW = Duration.ofHours(1);

  /** Times that lie further back are all the same. */
  private static final Duration EARLIEST = NOW.minus(TICK.multipliedBy(6));

  /** More is in flight only if the model is wrong. */
  private static final int MAX_IN_FLIGHT = 12;

  /** An advertisement in flight, with the indices of its routers and its time in flight. */
  record Message(int to, int from, int priority, int ageTicks) {}

  /** The process of one router. */
  record RouterProcess(Election.State state, boolean suspended, boolean dead) {}

  /**
   * The state of all routers and of the network.
   *
   * @param remaining faults that may still occur
   * @param overlapTicks for how long several routers have acted together
   */
  record World(
      List<RouterProcess> processes,
      List<Message> inFlight,
      ModelCheck.Budget remaining,
      int overlapTicks) {

    /** The world with another process at an index and another remaining budget. */
    World with(int index, RouterProcess process, ModelCheck.Budget newRemaining) {
      List<RouterProcess> newProcesses = new ArrayList<>(processes);
      newProcesses.set(index, process);
      return new World(List.copyOf(newProcesses), inFlight, newRemaining, overlapTicks);
    }

    private World withNothingInFlight() {
      return new World(processes, List.of(), remaining, overlapTicks);
    }

    private World withRemaining(ModelCheck.Budget newRemaining) {
      return new World(processes, inFlight, newRemaining, overlapTicks);
    }
  }

  private final ModelCheck.StateMachine machine;
  private final List<Election.Settings> settings;
  private final List<Integer> priorities;

  RouterModel(
      ModelCheck.StateMachine machine, List<Election.Settings> settings, List<Integer> priorities) {
    this.machine = machine;
    this.settings = settings;
    this.priorities = priorities;
  }

  /** The world in which no router has been started. */
  World notStarted(ModelCheck.Budget budget) {
    List<RouterProcess> processes =
        settings.stream()
            .map(
                routerSettings ->
                    new RouterProcess(
                        Election.initial(
                            priorities.get(settings.indexOf(routerSettings)), routerSettings),
                        false,
                        true))
            .toList();
    return new World(processes, List.of(), budget, 0);
  }

  /**
   * Starts a router with its initial state. The messages that it sends are in flight afterwards.
   */
  World start(World world, int router) {
    Election.State initial = Election.initial(priorities.get(router), settings.get(router));
    return handle(
        world.with(router, new RouterProcess(initial, false, false), world.remaining()),
        router,
        new Election.Startup());
  }

  /**
   * Returns the worlds after every combination of deliveries: each message in flight arrives, stays
   * in flight if it may, is lost, or arrives and stays in flight as a duplicate.
   */
  List<World> deliveries(World world) {
    List<World> worlds = new ArrayList<>(List.of(world.withNothingInFlight()));
    for (Message message : world.inFlight()) {
      List<World> following = new ArrayList<>();
      for (World partial : worlds) {
        addDeliveries(partial, message, following);
      }
      worlds = following;
    }
    return worlds;
  }

  private void addDeliveries(World world, Message message, List<World> following) {
    RouterProcess receiver = world.processes().get(message.to);
    if (receiver.dead) {
      following.add(world);
      return;
    }
    // The messages for a suspended process wait in its socket, whatever their age.
    if (receiver.suspended || message.ageTicks < world.remaining().maxTransitTicks()) {
      following.add(putInFlight(world, message, world.remaining()));
    }
    if (!receiver.suspended) {
      following.add(receive(world, message));
      if (world.remaining().duplicates() > 0) {
        following.add(
            putInFlight(
                receive(world, message),
                new Message(message.to, message.from, message.priority, 0),
                world.remaining().withoutOneDuplicate()));
      }
    }
    if (world.remaining().losses() > 0) {
      following.add(world.withRemaining(world.remaining().withoutOneLoss()));
    }
  }

  private static World putInFlight(World world, Message message, ModelCheck.Budget remaining) {
    // A suspended process reads all waiting messages at once when it resumes, so equal ones count
    // as one.
    if (world.processes().get(message.to).suspended
        && world.inFlight().stream()
            .anyMatch(
                other ->
                    other.to == message.to
                        && other.from == message.from
                        && other.priority == message.priority)) {
      return world.withRemaining(remaining);
    }
    List<Message> inFlight = new ArrayList<>(world.inFlight());
    inFlight.add(message);
    if (inFlight.size() > MAX_IN_FLIGHT) {
      throw new IllegalStateException(
          "messages in flight are " + inFlight + ", allowed: up to " + MAX_IN_FLIGHT);
    }
    return new World(world.processes(), List.copyOf(inFlight), remaining, world.overlapTicks());
  }

  /** Delivers all messages in flight. */
  World deliverAll(World world) {
    World delivered = world.withNothingInFlight();
    for (Message message : world.inFlight()) {
      delivered =
          delivered.processes().get(message.to).dead ? delivered : receive(delivered, message);
    }
    return delivered;
  }

  private World receive(World world, Message message) {
    return handle(
        world,
        message.to,
        new Election.AdvertisementReceived(
            message.priority,
            settings.get(message.from).tieBreaker(),
            settings.get(message.from).interval()));
  }

  private World handle(World world, int router, Election.Event event) {
    Election.Step step =
        machine.next(world.processes().get(router).state, event, NOW, settings.get(router));
    World next =
        world.with(router, new RouterProcess(step.state(), false, false), world.remaining());
    for (Election.Action action : step.actions()) {
      if (action instanceof Election.SendAdvertisement advertisement) {
        for (int to = 0; to < settings.size(); to++) {
          if (to != router) {
            next =
                putInFlight(
                    next, new Message(to, router, advertisement.priority(), 0), next.remaining());
          }
        }
      }
    }
    return next;
  }

  /**
   * Advances the time by one tick. Routers that may act at the end of the tick are counted before
   * any timer runs. Then the timers that are due run.
   *
   * @param before world whose overlap is continued
   * @param delivered world after the deliveries of this tick
   */
  World tick(World before, World delivered) {
    List<RouterProcess> processes =
        delivered.processes().stream()
            .map(
                process ->
                    new RouterProcess(
                        process.dead ? deadState(process.state) : oneTickLater(process.state),
                        process.suspended,
                        process.dead))
            .toList();
    int maxAgeTicks = delivered.remaining().maxTransitTicks() + 1;
    List<Message> inFlight =
        delivered.inFlight().stream()
            .map(
                message ->
                    new Message(
                        message.to,
                        message.from,
                        message.priority,
                        Math.min(message.ageTicks + 1, maxAgeTicks)))
            .toList();
    long acting =
        processes.stream()
            .filter(
                process ->
                    !process.suspended && !process.dead && machine.mayAct(process.state, NOW))
            .count();
    int overlapTicks = acting > 1 ? before.overlapTicks() + 1 : 0;
    return runTimers(new World(processes, inFlight, delivered.remaining(), overlapTicks));
  }

  private World runTimers(World before) {
    World world = before;
    for (int router = 0; router < settings.size(); router++) {
      RouterProcess process = world.processes().get(router);
      Duration deadline =
          process.suspended || process.dead ? null : Election.nextDeadline(process.state);
      if (deadline != null && deadline.compareTo(NOW) <= 0) {
        world = handle(world, router, new Election.Tick());
      }
    }
    return world;
  }

  private static Election.State deadState(Election.State state) {
    return new Election.State(
        Election.Role.INITIALIZE,
        state.priority(),
        state.activeInterval(),
        null,
        null,
        null,
        null,
        null);
  }

  /** The same state seen one tick later: all its times are a tick earlier. */
  private static Election.State oneTickLater(Election.State state) {
    return new Election.State(
        state.role(),
        state.priority(),
        state.activeInterval(),
        shift(state.activeDownAt()),
        shift(state.advertiseAt()),
        shift(state.leaseUntil()),
        shift(state.preemptableSince()),
        shift(state.lastEventAt()));
  }

  private static Duration shift(Duration time) {
    Duration shifted = time == null ? null : time.minus(TICK);
    return shifted == null || shifted.compareTo(EARLIEST) > 0 ? shifted : EARLIEST;
  }
}
