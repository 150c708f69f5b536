package tamarindroute.membership;

/**
 * One incarnation of a process at an address.
 *
 * @param address address at which the process receives messages
 * @param incarnation number that is greater after each restart at the address, from 1. A starting
 *     process proposes one and raises it above any incarnation that other members remember, so it
 *     may come from a clock that is set back.
 */
public record Member(Address address, long incarnation) {

  @Override
  public String toString() {
    return address + "#" + incarnation;
  }
}
