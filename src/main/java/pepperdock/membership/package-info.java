/**
 * Who of the gatherers is there: agreed between them, without a leader, through pauses, loss and one-sided cuts.
 *
 * <p>Pure: {@link pepperdock.membership.Membership} takes messages and the time and gives messages and changes; sockets are
 * {@code members}' business, and the same machine runs in simulated time. What each member says is written by that member
 * alone: its {@link pepperdock.membership.MemberRecord} (who and where it is) and its {@link pepperdock.membership.Observations} (whom it
 * observes and does not reach). Both spread as gossip, newer over older, so that all come to hold the same
 * {@link pepperdock.membership.MembershipTable}; the only thing written about another is that it is gone, for one incarnation, which it
 * can refute by taking the next. {@link pepperdock.membership.CutDetector} reads verdicts from the table: several observers have to
 * agree, and whoever reaches no majority of the fleet declares nobody gone. The ways weighed: {@code docs/design/membership.md}.
 */
package pepperdock.membership;
