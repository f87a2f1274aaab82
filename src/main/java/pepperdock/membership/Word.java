package pepperdock.membership;

/** What an observer says of a subject that it does not simply reach, from better to worse. */
public enum Word {
    /** It answers, but late. */
    SLOW,
    /** Others reach it; we only through them. */
    INDIRECT,
    /** It speaks to us, but answers nothing of ours, not through others either. */
    DEAF,
    /** Nothing comes of it, over any way. */
    UNREACHED
}
