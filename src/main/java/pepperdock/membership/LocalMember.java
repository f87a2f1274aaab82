package pepperdock.membership;

import pepperdock.membership.Message.Header;

/**
 * This process as a member: its own record, and its progress from joining to leaving. It is changed by
 * {@link MemberLifecycle}, and by {@link ExchangeManager} once this member has joined; all other classes only read it.
 * Owned by the thread that calls {@link Membership}.
 */
final class LocalMember {

    private final String fleet;
    private MemberRecord memberRecord;
    private MemberRecord nameHolder;
    private boolean joined;
    private boolean leaving;

    LocalMember(String fleet, MemberRecord memberRecord) {
        this.fleet = fleet;
        this.memberRecord = memberRecord;
    }

    String fleet() {
        return fleet;
    }

    MemberRecord memberRecord() {
        return memberRecord;
    }

    String name() {
        return memberRecord.name();
    }

    long generation() {
        return memberRecord.generation();
    }

    String address() {
        return memberRecord.address();
    }

    void setMemberRecord(MemberRecord newRecord) {
        memberRecord = newRecord;
    }

    /** Returns the record of another process that holds this member's name, or null if there is none. */
    MemberRecord nameHolder() {
        return nameHolder;
    }

    void setNameHolder(MemberRecord newHolder) {
        nameHolder = newHolder;
    }

    /** Returns whether another process holds this member's name. */
    boolean hasNameConflict() {
        return nameHolder != null;
    }

    /**
     * Returns whether another member has sent the items that it holds under this name. Until then, any other process
     * that has the name is assumed to have held it first.
     */
    boolean joined() {
        return joined;
    }

    void setJoined() {
        joined = true;
    }

    boolean leaving() {
        return leaving;
    }

    void setLeaving() {
        leaving = true;
    }

    /** Returns the header of a message that this member sends now. */
    Header header(long stateDigest) {
        return new Header(fleet, name(), generation(), memberRecord.incarnation(), address(), stateDigest);
    }
}
