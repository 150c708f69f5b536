package tamarindroute.endings;

import java.util.List;
import java.util.stream.Collectors;

/** All checks together, and how their breaches are told. */
final class Judge {

  static final List<Check> CHECKS =
      List.of(
          new OneAnswer(),
          new GoneClients(),
          new EffectOnce(),
          new OneAtATime(),
          new Drains(),
          new Purges(),
          new Unchanged(),
          new WayOut());

  private Judge() {}

  static List<Check.Breach> judge(Journal journal) {
    return CHECKS.stream().flatMap(check -> check.breaches(journal).stream()).toList();
  }

  static String told(Journal journal, List<Check.Breach> breaches) {
    return breaches.stream()
        .limit(8)
        .map(
            b ->
                b.check()
                    + " "
                    + b.rid()
                    + ": "
                    + b.what()
                    + "\n"
                    + (b.rid().isEmpty() ? "" : journal.about(b.rid())))
        .collect(Collectors.joining("\n"));
  }
}
