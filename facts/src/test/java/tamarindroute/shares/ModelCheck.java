package tamarindroute.shares;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Explores all that can happen to some gateways that share a bound, one of them its dealer: each
 * may ask at any time, each word may come at once, late, twice, out of order or never (so that any
 * way may be cut at any time), each may be stopped and go on, be killed and start anew, each may
 * lead once nobody else does. Time goes in ticks; times are kept relative to now and numbers by
 * their order alone, so that equal futures are explored once. After every single event what the
 * living may use is summed up; a stopped one lives.
 */
final class ModelCheck {

  /** The machine under test; a seeded defect overrides what it breaks. */
  interface Machine {
    default Dealer leads(Dealer dealer, long view, Duration until) {
      return dealer.leads(view, until, NOW);
    }

    default Holder granted(Holder holder, Word.Grant grant) {
      return holder.granted(grant);
    }

    default Dealer refused(Dealer dealer, Address address, Duration sent) {
      return dealer.refused(address, sent);
    }

    default Dealer ticked(Dealer dealer) {
      return dealer;
    }

    default Holder started(Member self, Bound bound) {
      return Holder.started(self, bound, NOW);
    }
  }

  static final Machine SOUND = new Machine() {};
  static final Duration TICK = Duration.ofMillis(100);

  /** Times in states are told as if now were this, which is later than any span. */
  static final Duration NOW = Duration.ofHours(1);

  /** For how many ticks the lead is held: one that was stopped for two finds it going on. */
  private static final int LEAD = 3;

  /**
   * What may go wrong: stops, kills, changes of the leader, words that come twice; words on the
   * way, the longest way.
   */
  record Budget(int stops, int kills, int leaders, int doubled, int flying, int way) {}

  /**
   * The places of those that may ask, give back, be stopped, die and lead; fewer make worlds that
   * can be explored to the end.
   */
  record Who(String asks, String gives, String stops, String dies, String leads) {}

  record Found(int states, long mostUsed) {}

  /**
   * A word on its way, or a refusal that was asked for at that time, to the one with that place.
   */
  private record Message(int to, Word word, int refusedBy, Duration sent, int age) {}

  private record Node(Holder holder, Dealer dealer, boolean stopped, boolean dead) {}

  private record World(
      List<Node> nodes, List<Message> flying, int leader, long view, Duration until, Budget left) {}

  private final Machine machine;
  private final Bound bound;
  private final Who who;
  private final int size;
  private final Dealer fresh;

  ModelCheck(Machine machine, Bound bound, Who who) {
    this.machine = machine;
    this.bound = bound;
    this.who = who;
    this.size = bound.gateways();
    Set<Address> told = new HashSet<>();
    for (int i = 0; i < size; i++) {
      told.add(address(i));
    }
    this.fresh = Dealer.started(bound, told);
  }

  static Address address(int place) {
    return new Address("g", place + 1);
  }

  /** Stops once more than the bound is in use, for the defect is found, or at so many states. */
  Found explore(Budget budget, int mostStates) {
    List<Node> nodes = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      // The first lives are past their quiet time already.
      nodes.add(
          new Node(
              Holder.started(new Member(address(i), 1), bound, NOW.minus(bound.quiet())),
              fresh,
              false,
              false));
    }
    World first = canonical(new World(nodes, List.of(), -1, 0, NOW, budget));
    Set<World> seen = new HashSet<>(Set.of(first));
    ArrayDeque<World> open = new ArrayDeque<>(seen);
    long most = 0;
    while (!open.isEmpty()) {
      World world = open.poll();
      most = Math.max(most, used(world));
      if (most > bound.most()) {
        return new Found(seen.size(), most);
      }
      if (seen.size() > mostStates) {
        throw new IllegalStateException("not explored to the end within " + mostStates);
      }
      for (World next : nexts(world)) {
        World same = canonical(next);
        if (seen.add(same)) {
          open.add(same);
        }
      }
    }
    return new Found(seen.size(), most);
  }

  private static long used(World world) {
    return world.nodes.stream()
        .filter(node -> !node.dead)
        .mapToLong(node -> node.holder.share(NOW).part())
        .sum();
  }

  private List<World> nexts(World world) {
    List<World> nexts = new ArrayList<>(List.of(tick(world)));
    for (int i = 0; i < size; i++) {
      Node node = world.nodes.get(i);
      if (node.dead) {
        nexts.add(
            with(
                world,
                i,
                new Node(
                    machine.started(new Member(address(i), node.holder.self().birth() + 1), bound),
                    fresh,
                    false,
                    false),
                world.left));
        continue;
      }
      faults(world, i, nexts);
      if (!node.stopped) {
        acts(world, i, nexts);
      }
    }
    for (Message message : world.flying) {
      deliveries(world, message, nexts);
    }
    return nexts;
  }

  private void faults(World world, int i, List<World> nexts) {
    Node node = world.nodes.get(i);
    Budget left = world.left;
    if (node.stopped) {
      nexts.add(with(world, i, new Node(node.holder, node.dealer, false, false), left));
    } else if (left.stops > 0 && who.stops.indexOf('0' + i) >= 0) {
      nexts.add(
          with(
              world,
              i,
              new Node(node.holder, node.dealer, true, false),
              new Budget(
                  left.stops - 1, left.kills, left.leaders, left.doubled, left.flying, left.way)));
    }
    if (left.kills > 0 && who.dies.indexOf('0' + i) >= 0) {
      nexts.add(
          with(
              world,
              i,
              new Node(node.holder, node.dealer, false, true),
              new Budget(
                  left.stops, left.kills - 1, left.leaders, left.doubled, left.flying, left.way)));
    }
  }

  /** Asking, gaining and keeping the lead, finding that nobody listens where another was. */
  private void acts(World world, int i, List<World> nexts) {
    Node node = world.nodes.get(i);
    Budget left = world.left;
    boolean mine = world.leader == i;
    if (world.leader >= 0 && world.flying.size() < left.flying) {
      if (who.asks.indexOf('0' + i) >= 0 && !node.holder.asked().containsValue(NOW)) {
        Holder.Step step = node.holder.asking(NOW);
        nexts.add(
            flying(
                with(world, i, new Node(step.holder(), node.dealer, false, false), left),
                new Message(world.leader, step.word(), -1, NOW, 0)));
      }
      if (who.gives.indexOf('0' + i) >= 0 && node.holder.lease() != null) {
        Holder.Step step = node.holder.givingBack();
        nexts.add(
            flying(
                with(world, i, new Node(step.holder(), node.dealer, false, false), left),
                new Message(world.leader, step.word(), -1, NOW, 0)));
        if (left.kills > 0) {
          nexts.add(
              flying(
                  with(
                      world,
                      i,
                      new Node(node.holder, node.dealer, false, true),
                      new Budget(
                          left.stops,
                          left.kills - 1,
                          left.leaders,
                          left.doubled,
                          left.flying,
                          left.way)),
                  new Message(world.leader, node.holder.leaving(), -1, NOW, 0)));
        }
      }
      for (int other = 0; mine && other < size; other++) {
        if (world.nodes.get(other).dead) {
          nexts.add(flying(world, new Message(i, null, other, NOW, 0)));
        }
      }
    }
    boolean free = NOW.compareTo(world.until) >= 0;
    if (mine && !free && left.leaders == 0) {
      return;
    }
    if (mine || free && left.leaders > 0 && who.leads.indexOf('0' + i) >= 0) {
      long view = mine && !free ? world.view : world.view + 1;
      Budget less =
          new Budget(
              left.stops,
              left.kills,
              left.leaders - (mine ? 0 : 1),
              left.doubled,
              left.flying,
              left.way);
      Duration until = NOW.plus(TICK.multipliedBy(LEAD));
      if (!mine || !free || left.leaders > 0) {
        World led =
            with(
                world,
                i,
                new Node(node.holder, machine.leads(node.dealer, view, until), false, false),
                less);
        nexts.add(
            new World(
                led.nodes,
                led.flying,
                i,
                view,
                until,
                mine && free
                    ? new Budget(
                        left.stops,
                        left.kills,
                        left.leaders - 1,
                        left.doubled,
                        left.flying,
                        left.way)
                    : less));
      }
    }
  }

  private void deliveries(World world, Message message, List<World> nexts) {
    List<Message> rest = new ArrayList<>(world.flying);
    rest.remove(message);
    World without = new World(world.nodes, rest, world.leader, world.view, world.until, world.left);
    Node to = world.nodes.get(message.to);
    if (to.dead || to.stopped) {
      // To others a word that never comes is one that grows too old.
      nexts.add(without);
      return;
    }
    Budget left = world.left;
    nexts.add(heard(without, message));
    if (left.doubled > 0) {
      World again = heard(without, message);
      nexts.add(
          flying(
              new World(
                  again.nodes,
                  again.flying,
                  again.leader,
                  again.view,
                  again.until,
                  new Budget(
                      left.stops,
                      left.kills,
                      left.leaders,
                      left.doubled - 1,
                      left.flying,
                      left.way)),
              message));
    }
  }

  private World heard(World world, Message message) {
    int place = message.to;
    Node to = world.nodes.get(place);
    if (message.word == null) {
      Dealer dealer = machine.refused(to.dealer, address(message.refusedBy), message.sent);
      return with(world, place, new Node(to.holder, dealer, false, false), world.left);
    }
    if (message.word instanceof Word.Grant grant) {
      Holder holder = machine.granted(to.holder, grant);
      return with(world, place, new Node(holder, to.dealer, false, false), world.left);
    }
    Dealer.Step step = to.dealer.told(message.word, NOW);
    World next = with(world, place, new Node(to.holder, step.dealer(), false, false), world.left);
    return step.grant() == null
        ? next
        : flying(
            next,
            new Message(step.grant().holder().address().port() - 1, step.grant(), -1, NOW, 0));
  }

  private static World flying(World world, Message message) {
    List<Message> flying = new ArrayList<>(world.flying);
    if (!flying.contains(message)) {
      flying.add(message);
    }
    return new World(world.nodes, flying, world.leader, world.view, world.until, world.left);
  }

  private static World with(World world, int place, Node node, Budget left) {
    List<Node> nodes = new ArrayList<>(world.nodes);
    nodes.set(place, node);
    return new World(nodes, world.flying, world.leader, world.view, world.until, left);
  }

  private World tick(World world) {
    List<Node> nodes =
        world.nodes.stream()
            .map(
                node ->
                    new Node(
                        earlier(node.holder),
                        node.dead || node.stopped
                            ? earlier(node.dealer)
                            : machine.ticked(earlier(node.dealer)),
                        node.stopped,
                        node.dead))
            .toList();
    Duration until = shift(world.until);
    if (world.left.leaders == 0 && world.leader >= 0 && NOW.compareTo(world.until) < 0) {
      // Nothing can come of letting it end any more: whoever leads and runs keeps the lead.
      Node leads = nodes.get(world.leader);
      if (!leads.dead && !leads.stopped) {
        until = NOW.plus(TICK.multipliedBy(LEAD));
        nodes = new ArrayList<>(nodes);
        nodes.set(
            world.leader,
            new Node(leads.holder, machine.leads(leads.dealer, world.view, until), false, false));
      }
    }
    // What waits at a stopped process waits on, whatever its age.
    List<Message> flying =
        world.flying.stream()
            .filter(one -> one.age < world.left.way || world.nodes.get(one.to).stopped)
            .map(
                one ->
                    new Message(
                        one.to,
                        one.word,
                        one.refusedBy,
                        shift(one.sent),
                        Math.min(world.left.way, one.age + 1)))
            .toList();
    return new World(nodes, flying, world.leader, world.view, until, world.left);
  }

  private static Duration shift(Duration time) {
    if (time == null || time.equals(Duration.ZERO)) {
      return time;
    }
    Duration shifted = time.minus(TICK);
    Duration earliest = NOW.minus(TICK.multipliedBy(4));
    return shifted.compareTo(earliest) > 0 ? shifted : earliest;
  }

  private static Holder earlier(Holder holder) {
    TreeMap<Long, Duration> asked = new TreeMap<>();
    holder.asked().forEach((number, at) -> asked.put(number, shift(at)));
    Holder.Lease lease = holder.lease();
    return new Holder(
        holder.self(),
        holder.bound(),
        shift(holder.started()),
        holder.last(),
        asked,
        lease == null
            ? null
            : new Holder.Lease(lease.number(), lease.part(), shift(lease.until())));
  }

  private Dealer earlier(Dealer dealer) {
    if (dealer == fresh) {
      return fresh;
    }
    return places(
        dealer,
        shift(dealer.from()),
        shift(dealer.until()),
        place ->
            new Place(
                place.birth(),
                shift(place.heardAt()),
                place.over(),
                shift(place.emptyAt()),
                place.gone(),
                shift(place.reliedUntil()),
                shift(place.askedAt()),
                place.dealt().stream()
                    .map(
                        one ->
                            new Place.Dealt(
                                one.number(), one.part(), shift(one.at()), shift(one.until())))
                    .toList()));
  }

  static Dealer places(Dealer dealer, Duration from, Duration until, UnaryOperator<Place> change) {
    Map<Address, Place> places = new HashMap<>();
    dealer.places().forEach((address, place) -> places.put(address, change.apply(place)));
    return new Dealer(dealer.bound(), dealer.view(), from, until, places);
  }

  /**
   * The same with what can't matter any more left out, and each one's numbers by their order alone.
   */
  private World canonical(World world) {
    List<Map<Long, Long>> ranks = new ArrayList<>();
    List<Node> trimmed = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      trimmed.add(trimmed(world.nodes.get(i), i == world.leader));
    }
    for (int i = 0; i < size; i++) {
      ranks.add(ranks(trimmed, world.flying, i));
    }
    List<Node> nodes = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      nodes.add(ranked(trimmed.get(i), ranks.get(i), ranks));
    }
    List<Message> flying = new ArrayList<>();
    for (Message one : world.flying) {
      flying.add(
          one.word == null ? one : new Message(one.to, ranked(one.word, ranks), -1, NOW, one.age));
    }
    if (flying.size() > 1) {
      flying.sort(Comparator.comparing(Message::toString));
    }
    return new World(nodes, flying, world.leader, world.view, world.until, world.left);
  }

  private Node trimmed(Node node, boolean leads) {
    Holder holder = node.holder;
    TreeMap<Long, Duration> asked = new TreeMap<>(holder.asked());
    // A grant that answers an older asking is over as it comes.
    asked.values().removeIf(at -> at.plus(bound.length()).compareTo(NOW) <= 0);
    Holder.Lease lease =
        holder.lease() == null || holder.lease().until().compareTo(NOW) <= 0
            ? null
            : holder.lease();
    Dealer dealer =
        node.dead || !leads
            ? fresh
            : places(
                node.dealer,
                node.dealer.from(),
                node.dealer.until(),
                place ->
                    new Place(
                        place.birth(),
                        place.heardAt(),
                        place.over(),
                        useless(place.emptyAt()) ? null : place.emptyAt(),
                        place.gone(),
                        place.reliedUntil().compareTo(NOW) <= 0
                            ? Duration.ZERO
                            : place.reliedUntil(),
                        place.askedAt().plus(bound.length()).compareTo(NOW) <= 0
                            ? Duration.ZERO
                            : place.askedAt(),
                        place.dealt().stream()
                            .filter(one -> NOW.compareTo(one.until()) < 0)
                            .toList()));
    return new Node(
        new Holder(
            holder.self(),
            bound,
            holder.started(),
            holder.last(),
            node.dead ? new TreeMap<>() : asked,
            node.dead ? null : lease),
        dealer,
        node.stopped,
        node.dead);
  }

  private boolean useless(Duration emptyAt) {
    return emptyAt == null || emptyAt.plus(bound.quiet()).compareTo(NOW) <= 0;
  }

  private static Map<Long, Long> ranks(List<Node> nodes, List<Message> flying, int place) {
    TreeSet<Long> numbers = new TreeSet<>(nodes.get(place).holder.asked().keySet());
    if (nodes.get(place).holder.lease() != null) {
      numbers.add(nodes.get(place).holder.lease().number());
    }
    flying.stream()
        .filter(one -> one.word != null && one.word.holder().address().equals(address(place)))
        .forEach(one -> numbers.add(one.word.number()));
    nodes.forEach(
        node ->
            node.dealer
                .places()
                .get(address(place))
                .dealt()
                .forEach(one -> numbers.add(one.number())));
    Map<Long, Long> ranks = new HashMap<>();
    numbers.forEach(number -> ranks.put(number, ranks.size() + 1L));
    return ranks;
  }

  private Node ranked(Node node, Map<Long, Long> own, List<Map<Long, Long>> ranks) {
    Holder holder = node.holder;
    TreeMap<Long, Duration> asked = new TreeMap<>();
    holder.asked().forEach((number, at) -> asked.put(own.get(number), at));
    Holder.Lease lease =
        holder.lease() == null
            ? null
            : new Holder.Lease(
                own.get(holder.lease().number()), holder.lease().part(), holder.lease().until());
    if (node.dealer == fresh) {
      return new Node(
          new Holder(holder.self(), bound, holder.started(), own.size(), asked, lease),
          fresh,
          node.stopped,
          node.dead);
    }
    Map<Address, Place> places = new HashMap<>();
    node.dealer
        .places()
        .forEach(
            (address, place) ->
                places.put(
                    address,
                    new Place(
                        place.birth(),
                        place.heardAt(),
                        place.over(),
                        place.emptyAt(),
                        place.gone(),
                        place.reliedUntil(),
                        place.askedAt(),
                        place.dealt().stream()
                            .map(
                                one ->
                                    new Place.Dealt(
                                        ranks.get(address.port() - 1).get(one.number()),
                                        one.part(),
                                        one.at(),
                                        one.until()))
                            .toList())));
    return new Node(
        new Holder(holder.self(), bound, holder.started(), own.size(), asked, lease),
        new Dealer(bound, node.dealer.view(), node.dealer.from(), node.dealer.until(), places),
        node.stopped,
        node.dead);
  }

  private static Word ranked(Word word, List<Map<Long, Long>> ranks) {
    long number = ranks.get(word.holder().address().port() - 1).get(word.number());
    if (word instanceof Word.Grant grant) {
      return new Word.Grant(grant.holder(), number, grant.part(), grant.length());
    }
    return word instanceof Word.Ask
        ? new Word.Ask(word.holder(), number)
        : word instanceof Word.Leave
            ? new Word.Leave(word.holder(), number)
            : new Word.GiveBack(word.holder(), number);
  }
}
