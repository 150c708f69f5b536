package tamarindroute.endings;

import java.util.List;

/** One rule, judged by the journal alone. */
interface Check {

  /** A rule broken, with the request's id, or an empty one. */
  record Breach(String check, String rid, String what) {}

  List<Breach> breaches(Journal journal);

  default Breach breach(String rid, String what, Object... values) {
    return new Breach(getClass().getSimpleName(), rid, String.format(what, values));
  }
}
