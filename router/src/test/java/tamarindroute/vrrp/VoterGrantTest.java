package tamarindroute.vrrp;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Arrays;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Guards against two gateways that are active at a time because each counts on grants of two of
 * three voters: requests are delayed, answers are lost and voters restart without their state.
 */
class VoterGrantTest {

  @Property(seed = "23", tries = 500)
  void atMostOneCandidateHoldsTwoOfThreeGrants(@ForAll long seed) {
    Random random = new Random(seed);
    Duration grantDuration = Duration.ofMillis(100);
    VoterGrant[] voters = new VoterGrant[3];
    Arrays.fill(voters, VoterGrant.started(grantDuration, Duration.ofMillis(-200)));
    Duration[][] validUntil = new Duration[2][3];
    for (int millis = 0; millis < 2000; millis++) {
      Duration now = Duration.ofMillis(millis);
      if (random.nextInt(4) == 0) {
        int candidate = random.nextInt(2);
        int voter = random.nextInt(3);
        // The request was in flight for a while, and its answer may be lost.
        Duration requestedAt = now.minusMillis(random.nextInt(30));
        VoterGrant.Response response = voters[voter].request(candidate, grantDuration, now);
        voters[voter] = response.grant();
        if (response.granted() && random.nextInt(3) > 0) {
          validUntil[candidate][voter] = VoterGrant.validUntil(requestedAt, grantDuration);
        }
      }
      if (random.nextInt(300) == 0) {
        voters[random.nextInt(3)] = VoterGrant.started(grantDuration, now);
      }
      int candidatesWithQuorum = 0;
      for (Duration[] validUntilByVoter : validUntil) {
        long held =
            Arrays.stream(validUntilByVoter)
                .filter(expiry -> expiry != null && now.compareTo(expiry) < 0)
                .count();
        candidatesWithQuorum += held >= 2 ? 1 : 0;
      }
      assertThat(candidatesWithQuorum).isLessThanOrEqualTo(1);
    }
  }
}
