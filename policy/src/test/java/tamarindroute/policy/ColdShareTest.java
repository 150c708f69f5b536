package tamarindroute.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Profile;
import tamarindroute.decision.Settings;
import tamarindroute.decision.Trip;
import tamarindroute.decision.View;

/**
 * What a cold cache bears, over all gateways: each with a module of its own, none knows of another. The cases are those in
 * which a gateway's part is far less than one view.
 */
class ColdShareTest {

    private static final double FROM = 0.2;
    private static final double WARM = 20;
    private static final double MULTIPLE = 3;
    private static final double WINDOW = 2;
    private static final double WEIGHT = 6;
    /** A view's sending time, which is also the profile's mean from the start: the agreed time. */
    private static final double WORK = 0.3;

    private final Profile profile = new Profile(Profile.Repeat.REISSUABLE, Profile.Group.ALL, Duration.ZERO,
            Duration.ofMillis(300), 2, true, Duration.ZERO);
    private final Cache cold = cache(1, Cache.Tier.EDGE);
    private final Cache parent = cache(3, Cache.Tier.PARENT);
    private final List<Brain> fleet = new ArrayList<>();
    private int objects;

    private static Cache cache(long mark, Cache.Tier tier) {
        Cache cache = new Cache(mark);
        cache.tier = tier;
        cache.weight = WEIGHT;
        return cache;
    }

    private static Duration at(double seconds) {
        return Duration.ofNanos((long) (seconds * 1e9));
    }

    private void fleet(int size) {
        Settings.ColdStart start = new Settings.ColdStart(FROM, at(WARM), MULTIPLE, at(WINDOW));
        cold.upSince = at(10);
        for (int i = 0; i < size; i++) {
            Brain brain = new Brain(new Settings(4711 + i, 0, size, size, List.of(0), 1000, 0, false, false, true, false,
                    true, null, 8, start, start, Duration.ofSeconds(6)));
            brain.listed(List.of(cold, parent), at(10));
            fleet.add(brain);
        }
    }

    /** A view that takes its whole way; whether the cold cache had it. */
    private boolean view(Brain brain, double now) {
        View view = new View(profile, ++objects, 0, 1, WORK * 1000, at(now), at(now + 3));
        if (!(brain.place(view, at(now)) instanceof Trip trip) || trip.cache != cold) {
            return false;
        }
        view.trips.add(trip);
        trip.sent = at(now);
        trip.outcome = new Outcome(Outcome.Result.HONOURED, Outcome.Detail.FILLED, at(WORK), null, true);
        brain.after(view, trip, at(now + 0.001));
        return true;
    }

    private static double bearable(double age) {
        return MULTIPLE * Math.min(1, FROM + (1 - FROM) * age / WARM) * WEIGHT * WINDOW;
    }

    /** Idle until now, all gateways want the cold cache at one moment: a zone's loss does that. */
    @ParameterizedTest
    @CsvSource({"100, 5", "100, 15", "300, 5", "300, 15", "1000, 10"})
    void gatewaysThatWereIdleDoNotComeTogether(int size, double age) {
        fleet(size);
        long had = fleet.stream().filter(brain -> view(brain, 10 + age)).count();
        assertThat(had * WORK).isLessThan(bearable(age));
    }

    /** Under steady demand no window holds more than the cache bears, and the cache does not starve either. */
    @ParameterizedTest
    @CsvSource({"4", "20", "100", "400"})
    void anyWindowKeepsToWhatItBearsAndItIsNotStarved(int size) {
        fleet(size);
        double step = 0.05;
        List<Integer> each = new ArrayList<>();
        for (double age = 0; age < 15; age += step) {
            int had = 0;
            // Twice what it bears warm, from gateways in turn.
            int wanted = (int) Math.ceil(2 * MULTIPLE * WEIGHT * step / WORK);
            for (int i = 0; i < wanted; i++) {
                had += view(fleet.get((objects * 7) % size), 10 + age) ? 1 : 0;
            }
            each.add(had);
        }
        int width = (int) (WINDOW / step);
        double all = 0;
        for (int end = width; end <= each.size(); end++) {
            double inWindow = WORK * each.subList(end - width, end).stream().mapToInt(n -> n).sum();
            assertThat(inWindow).as("to the age of %s", end * step).isLessThan(1.1 * bearable(end * step));
        }
        for (int had : each) {
            all += had * WORK;
        }
        double borne = MULTIPLE * WEIGHT * 15 * (FROM + (1 - FROM) * 15 / WARM / 2);
        assertThat(all / borne).isBetween(0.2, 0.95);
    }
}
