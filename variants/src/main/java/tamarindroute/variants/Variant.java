package tamarindroute.variants;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

/** A site with some factors changed; without factors it equals the site. */
record Variant(List<Factor> factors, ObjectNode document) {

  private static final String UNCHANGED = "unchanged";

  static Variant of(SiteFile site, Factor... factors) {
    ObjectNode document = site.document();
    for (Factor factor : factors) {
      factor.apply(document);
    }
    return new Variant(List.of(factors), document);
  }

  /** The name of the folder to which it is written. */
  String folderName() {
    return factors.isEmpty()
        ? UNCHANGED
        : factors.stream().map(Factor::displayName).collect(Collectors.joining("+"));
  }

  /** Whether its document differs from the site's. */
  boolean differsFrom(SiteFile site) {
    return !changedKeys(site).isEmpty();
  }

  /** The paths of the keys in which it differs from the site. */
  Set<String> changedKeys(SiteFile site) {
    return DocumentDiff.between(site.document(), document).keySet();
  }

  /** One variant for each factor that changes something on the site. */
  static List<Variant> single(SiteFile site) {
    List<Variant> variants = new ArrayList<>();
    for (Factor factor : Factor.values()) {
      Variant variant = of(site, factor);
      if (variant.differsFrom(site)) {
        variants.add(variant);
      }
    }
    return variants;
  }

  /**
   * Draws pairs of factors, the same ones for the same site and seed. The two of a pair change
   * different keys, and each still changes all of its keys after the other.
   */
  static List<Variant> pairs(SiteFile site, int count, long seed) throws InvalidInputException {
    List<Variant> single = single(site);
    List<Variant> pairs = new ArrayList<>();
    for (List<Variant> drawn : shuffled(single, new Random(seed))) {
      if (pairs.size() == count) {
        return pairs;
      }
      Variant pair = of(site, drawn.get(0).factors.get(0), drawn.get(1).factors.get(0));
      if (pair.changesKeysOfBoth(site, drawn.get(0), drawn.get(1))) {
        pairs.add(pair);
      }
    }
    if (pairs.size() < count) {
      throw new InvalidInputException(
          site.path + ": " + count + " pairs are wanted, it has " + pairs.size());
    }
    return pairs;
  }

  private static List<List<Variant>> shuffled(List<Variant> single, Random random) {
    List<List<Variant>> twos = new ArrayList<>();
    for (int i = 0; i < single.size(); i++) {
      for (int j = i + 1; j < single.size(); j++) {
        twos.add(List.of(single.get(i), single.get(j)));
      }
    }
    Collections.shuffle(twos, random);
    return twos;
  }

  private boolean changesKeysOfBoth(SiteFile site, Variant one, Variant other) {
    Set<String> keys = new HashSet<>(one.changedKeys(site));
    Set<String> others = other.changedKeys(site);
    int together = keys.size() + others.size();
    keys.addAll(others);
    return keys.size() == together && changedKeys(site).equals(keys);
  }
}
