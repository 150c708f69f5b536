package tamarindroute.variants;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;

/** The command that writes a site's variants, as docs/variants.md tells. */
public final class Generate {

  private static final String USAGE =
      "usage: generate.sh SITE.toml OUT_FOLDER [--pairs N --seed S]\n"
          + "       generate.sh [SITE.toml [OUT_FOLDER]] --list    prints the factors, writes nothing";

  private final PrintStream out;
  private final List<Path> paths = new ArrayList<>();
  private int pairs;
  private long seed = 1;
  private boolean list;

  private Generate(PrintStream out) {
    this.out = out;
  }

  /** Words as in the usage; exit codes 0, 1 (reading or writing failed), 2 (usage), 3 (refused). */
  public static void main(String[] words) {
    System.exit(run(System.out, System.err, words));
  }

  static int run(PrintStream out, PrintStream errors, String... words) {
    return Exit.codeOf(
        () -> {
          Generate command = new Generate(out);
          command.take(Arrays.asList(words).iterator());
          command.run();
        },
        USAGE,
        errors);
  }

  private void take(Iterator<String> words) throws UsageException, RefusedException {
    while (words.hasNext()) {
      String word = words.next();
      switch (word) {
        case "--pairs" -> pairs = Math.toIntExact(number(word, words, Integer.MAX_VALUE));
        case "--seed" -> seed = number(word, words, Long.MAX_VALUE);
        case "--list" -> list = true;
        default -> takePath(word);
      }
    }
    if (paths.size() > 2 || !list && paths.size() < 2) {
      throw new UsageException(paths.size() + " paths given");
    }
  }

  private void takePath(String word) throws RefusedException {
    if (word.startsWith("-")) {
      throw new RefusedException(word + ": no such option");
    }
    paths.add(Path.of(word));
  }

  private static long number(String option, Iterator<String> words, long most)
      throws UsageException {
    try {
      long number = words.hasNext() ? Long.parseLong(words.next()) : -1;
      if (number >= 0 && number <= most) {
        return number;
      }
    } catch (NumberFormatException none) {
      // Told below, as are negative numbers.
    }
    throw new UsageException(option + " takes a whole number from 0");
  }

  private void run() throws RefusedException, IOException {
    SiteFile site = paths.isEmpty() ? null : SiteFile.read(paths.get(0));
    if (list) {
      printFactors(site);
      return;
    }
    VariantFolder folder = new VariantFolder(paths.get(1));
    List<Variant> variants = new ArrayList<>();
    variants.add(Variant.of(site));
    variants.addAll(Variant.single(site));
    variants.addAll(Variant.pairs(site, pairs, seed));
    folder.write(site, variants);
    for (Factor factor : Factor.values()) {
      if (!Variant.of(site, factor).differsFrom(site)) {
        out.println(factor.word() + ": skipped, changes nothing on " + site.name());
      }
    }
    out.println(variants.size() + " variants of " + site.name() + " in " + paths.get(1));
  }

  private void printFactors(SiteFile site) {
    for (Factor factor : Factor.values()) {
      boolean skipped = site != null && !Variant.of(site, factor).differsFrom(site);
      out.printf(
          "%-18s %s%s%n",
          factor.word(), factor.description, skipped ? " (changes nothing here)" : "");
    }
  }
}
