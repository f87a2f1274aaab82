/**
 * Membership among the gatherers: a failure detector and a view of the fleet that members agree on without a leader,
 * through pauses, message loss and one-way link failures.
 *
 * <p>This package has no sockets, threads or clock: {@link pepperdock.membership.Membership} takes messages and the
 * time, and returns messages and changes. {@code membership.transport} runs it on sockets, and the test rig in
 * simulated time. One thread calls it and owns all of its state.
 *
 * <p>Members probe each other as in SWIM (Das, Gupta, Motivala 2002), with the local health of Lifeguard (Dadgar,
 * Phillips, Currey 2018), and spread new items by gossip and by anti-entropy exchanges (Demers and others 1987). Each
 * member alone writes its own items: its {@link pepperdock.membership.MemberRecord} and, as an observer, its
 * {@link pepperdock.membership.Observations}. A newer item supersedes an older one, so that all members converge on the
 * same {@link pepperdock.membership.MembershipTable}. Only a faulty verdict is written about another member; it holds
 * for one incarnation, and the member refutes it by the next one. {@link pepperdock.membership.CutDetector} derives
 * verdicts from the table as in Rapid (Suresh and others 2018): several observers have to agree, and a member that
 * reaches no majority of the fleet declares nobody faulty. {@code docs/design/membership.md} compares the alternatives.
 */
package pepperdock.membership;
