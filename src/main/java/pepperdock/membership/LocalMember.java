package pepperdock.membership;

import pepperdock.membership.Message.Header;

/**
 * This process as a member: its own record, and where it stands between joining and leaving. Only {@link MemberLifecycle}
 * changes it; all else reads it. Owned by the thread that calls {@link Membership}.
 */
final class LocalMember {

    private final String fleet;
    private MemberRecord memberRecord;
    private MemberRecord rival;
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

    /** The record of another process that holds this member's name; null where there is none. */
    MemberRecord rival() {
        return rival;
    }

    void setRival(MemberRecord newRival) {
        rival = newRival;
    }

    boolean hasRival() {
        return rival != null;
    }

    /** Whether another member has told what it holds of this name: until then whoever holds the name was there first. */
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

    /** The header of a message that this member sends now. */
    Header header(long stateDigest) {
        return new Header(fleet, name(), generation(), memberRecord.incarnation(), address(), stateDigest);
    }
}
