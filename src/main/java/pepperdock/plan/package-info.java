/**
 * Shares of work, reckoned ahead: which part of each account range's work goes to which of its holders, so that the most
 * used node is used as little as can be, then the next, and so on; among those, the fewest crossings between zones.
 *
 * <p>Free of I/O and clock: a {@link pepperdock.plan.Problem} goes in, a {@link pepperdock.plan.Plan} or a
 * {@link pepperdock.plan.Conflict} comes out, the same for the same problem. The linear programs are ojAlgo's; the model,
 * the decomposition into levels and the exact figures are ours: work and capacity are whole numbers, and every utilisation
 * reported is the quotient of two sums of them, not a solver's decimal.
 */
package pepperdock.plan;
