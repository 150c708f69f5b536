package tamarindroute.variants;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;

/** The command that writes a site's variants; see docs/variants.md. */
public final class GenerateCommand {

  private static final String USAGE =
      "usage: generate.sh SITE.toml OUT_FOLDER [--pairs N --seed S]\n"
          + "       generate.sh [SITE.toml [OUT_FOLDER]] --list    prints the factors, writes nothing";

  private final PrintStream out;
  private final List<Path> paths = new ArrayList<>();
  private int pairs;
  private long seed = 1;
  private boolean list;

  private GenerateCommand(PrintStream out) {
    this.out = out;
  }

  /** Arguments as in the usage; exit codes as in {@link ExitCodes}. */
  public static void main(String[] arguments) {
    System.exit(run(System.out, System.err, arguments));
  }

  static int run(PrintStream out, PrintStream errors, String... arguments) {
    return ExitCodes.codeOf(
        () -> {
          GenerateCommand command = new GenerateCommand(out);
          command.parse(Arrays.asList(arguments).iterator());
          command.run();
        },
        USAGE,
        errors);
  }

  private void parse(Iterator<String> arguments) throws UsageException, InvalidInputException {
    while (arguments.hasNext()) {
      String argument = arguments.next();
      switch (argument) {
        case "--pairs" -> pairs = Math.toIntExact(number(argument, arguments, Integer.MAX_VALUE));
        case "--seed" -> seed = number(argument, arguments, Long.MAX_VALUE);
        case "--list" -> list = true;
        default -> parsePath(argument);
      }
    }
    if (paths.size() > 2 || (!list && paths.size() < 2)) {
      throw new UsageException(paths.size() + " paths given");
    }
  }

  private void parsePath(String argument) throws InvalidInputException {
    if (argument.startsWith("-")) {
      throw new InvalidInputException(argument + ": no such option");
    }
    paths.add(Path.of(argument));
  }

  private static long number(String option, Iterator<String> arguments, long max)
      throws UsageException {
    try {
      long number = arguments.hasNext() ? Long.parseLong(arguments.next()) : -1;
      if (number >= 0 && number <= max) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Refused below, as are negative numbers.
    }
    throw new UsageException(option + " takes a whole number from 0");
  }

  private void run() throws InvalidInputException, IOException {
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
        out.println(factor.displayName() + ": skipped, changes nothing on " + site.name());
      }
    }
    out.println(variants.size() + " variants of " + site.name() + " in " + paths.get(1));
  }

  private void printFactors(SiteFile site) {
    for (Factor factor : Factor.values()) {
      boolean skipped = site != null && !Variant.of(site, factor).differsFrom(site);
      out.printf(
          "%-18s %s%s%n",
          factor.displayName(), factor.description(), skipped ? " (changes nothing here)" : "");
    }
  }
}
