package tamarindroute.rig.check;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import tamarindroute.rig.journal.JournalEntry;
import tamarindroute.rig.journal.ProcessEvent;

/** What members have printed of each other's and their own state. */
final class MemberLog {

  /**
   * A member reports a member's state.
   *
   * @param at when
   * @param reporter the process that printed it
   * @param subject the process that it concerns
   * @param incarnation which start of the subject, counted by the rig from 1
   * @param state as the program prints it
   */
  record StateReport(Duration at, String reporter, String subject, int incarnation, String state) {

    /** Names the pair of reporter and subject. */
    String pair() {
      return reporter + " " + subject;
    }

    boolean isFaulty() {
      return state.equals("faulty");
    }

    /** Whether the subject counts as a member; one that is joining does not yet. */
    boolean isMember() {
      return state.equals("alive") || state.equals("suspect");
    }

    boolean isGone() {
      return isFaulty() || state.equals("left");
    }
  }

  /**
   * A member reports its own connectivity.
   *
   * @param at when
   * @param reporter the process that printed it
   * @param state as the program prints it
   */
  record ConnectivityReport(Duration at, String reporter, String state) {
    boolean isIsolated() {
      return state.startsWith("isolated");
    }
  }

  private static final Pattern MEMBER =
      Pattern.compile("member:? ([0-9.]+:[0-9]+)#(-?[0-9]+) ([a-z]+)");
  private static final Pattern CONNECTIVITY = Pattern.compile("connectivity:? (.*)");

  private final List<StateReport> reports = new ArrayList<>();
  private final List<ConnectivityReport> connectivity = new ArrayList<>();
  private final Map<String, Integer> lastIncarnation = new HashMap<>();
  private final Map<String, String> processByAddress = new HashMap<>();

  /** By process and the program's own incarnation number. */
  private final Map<String, Integer> incarnations = new HashMap<>();

  MemberLog(List<JournalEntry> journal) {
    for (JournalEntry entry : journal) {
      if (entry.isFrom(JournalEntry.RIG)) {
        ProcessEvent.parse(entry).ifPresent(this::addStart);
      } else {
        addReport(entry);
      }
    }
  }

  private void addStart(ProcessEvent event) {
    if (event.kind() == ProcessEvent.Kind.STARTED) {
      processByAddress.put(event.entry().require("address"), event.process());
      lastIncarnation.put(event.process(), Integer.valueOf(event.entry().require("incarnation")));
    }
  }

  private void addReport(JournalEntry entry) {
    Matcher member = MEMBER.matcher(entry.text());
    Matcher ownConnectivity = CONNECTIVITY.matcher(entry.text());
    if (member.find() && processByAddress.containsKey(member.group(1))) {
      String subject = processByAddress.get(member.group(1));
      // The program's number is new with each start: it belongs to the start that was the last when
      // the number was first printed.
      int incarnation =
          incarnations.computeIfAbsent(
              subject + "#" + member.group(2), number -> lastIncarnation.get(subject));
      reports.add(
          new StateReport(entry.at(), entry.source(), subject, incarnation, member.group(3)));
    } else if (ownConnectivity.find()) {
      connectivity.add(
          new ConnectivityReport(entry.at(), entry.source(), ownConnectivity.group(1)));
    }
  }

  /** All reports on members, in order. */
  List<StateReport> reports() {
    return reports;
  }

  /** All reports of members on their own connectivity, in order. */
  List<ConnectivityReport> connectivity() {
    return connectivity;
  }

  /** The incarnation of a process's last start. */
  int lastIncarnation(String process) {
    return lastIncarnation.get(process);
  }
}
