package tamarindroute.versioning;

import java.util.List;
import tamarindroute.versioning.RolloutModel.Defect;
import tamarindroute.versioning.RolloutState.Member;

/** Checks the rules of {@link RolloutModel} and records the latest violation. */
final class RolloutRules {
  private static final VersionTable TABLE =
      new VersionTable(List.of(VersionSet.of(0, 1), VersionSet.of(1, 2)));

  private final Defect defect;
  private String breach;

  RolloutRules(Defect defect) {
    this.defect = defect;
  }

  /** Returns the latest violation, or null. */
  String breach() {
    return breach;
  }

  /**
   * Checks that a settled version is not reverted and that no version is settled without a trial.
   */
  void checkStep(FleetVersion before, FleetVersion after) {
    boolean goesBack = after.settled() < before.settled();
    boolean skipsTrial =
        after.settled() > before.settled() && before.phase() != FleetVersion.Phase.TRIAL;
    if (goesBack || skipsTrial) {
      breach = "fleet version changed from " + before + " to " + after;
    }
  }

  /**
   * Checks that a version is proposed as settled only if the cache has recently supported it for
   * the length of a trial.
   */
  void checkProposal(RolloutState state, Member member, RolloutAction.Propose propose) {
    boolean settles = propose.version().settled() > member.known().settled();
    if (settles
        && state.supportHistory().ticksSinceTrialLength() > RolloutModel.MAX_SILENCE_TICKS) {
      breach =
          "version was proposed as settled, but the cache had last supported it "
              + "for the length of a trial "
              + state.supportHistory().ticksSinceTrialLength()
              + " ticks ago";
    }
  }

  /** Checks that no member uses a schema version that the agreed fleet version does not allow. */
  void checkUse(RolloutState state) {
    VersionSet allowed = state.version().usable(TABLE, true);
    for (Member member : state.members()) {
      boolean inContact = !member.cut() || defect == Defect.IGNORES_LOST_CONTACT;
      VersionSet used = member.known().usable(TABLE, inContact);
      if (!used.and(allowed).equals(used)) {
        breach =
            "member uses schema versions "
                + used
                + " at "
                + state.version()
                + ", having received "
                + member.known();
      }
    }
  }
}
