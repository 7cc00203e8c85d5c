/*
 * The result of a rollout: one decision for an order, and operators are told of no other.
 *
 * Writers follow a log. Each appends a decision only if the log ends at the offset up to which it
 * has read, and only if it has read none. The answer to an append may be lost: the writer does not
 * know whether it was made, and the store may make it later, if its condition still holds. Whoever
 * has read a decision tells operators, through a second log whose newest record is what they see:
 * the writer reads it and appends only if that log still ends there, so late appends fail.
 *
 * Seeded faults: UNCONDITIONAL appends decisions wherever the log ends, STATUS_UNCONDITIONAL does
 * so with what operators are told, and EVIDENCE_ONLY decides without having read the log.
 */

#ifndef WRITERS
#define WRITERS 3
#endif
#define MAX_RECORDS 4
#define NONE 0
#define RUNNING 1
#define COMPLETED 2
#define ROLLED_BACK 3

byte decisions[MAX_RECORDS];  /* the log of decisions */
byte end = 0;
byte statuses[MAX_RECORDS];   /* the log of what operators are told */
byte status_end = 0;
byte told = NONE;             /* the final state that operators have seen */

/* An append that the store may still make: its value, condition and log. */
byte late_value = NONE;
byte late_at;
bool late_is_status;

inline append_decision(value, at) {
    if
#ifdef UNCONDITIONAL
    :: end < MAX_RECORDS -> decisions[end] = value; end++
#else
    :: end == at && end < MAX_RECORDS -> decisions[end] = value; end++
#endif
    :: else
    fi
}

inline append_status(value, at) {
    if
#ifdef STATUS_UNCONDITIONAL
    :: status_end < MAX_RECORDS ->
#else
    :: status_end == at && status_end < MAX_RECORDS ->
#endif
        statuses[status_end] = value;
        status_end++;
        assert(told == NONE || value == told);
        if
        :: value != RUNNING -> told = value
        :: else
        fi
    :: else
    fi
}

/* The store makes an append whose answer was lost. */
active proctype store() {
    do
    :: atomic { late_value != NONE ->
        if
        :: late_is_status -> append_status(late_value, late_at)
        :: else -> append_decision(late_value, late_at)
        fi;
        late_value = NONE }
    od
}

active [WRITERS] proctype writer() {
    byte read = 0;       /* offset up to which it has read the decisions */
    byte known = NONE;   /* the decision that it has read */
    byte seen;           /* end of the statuses when it read them */
    byte newest;
    byte opinion;
    do
    /* Reads the next decision; the first one counts. */
    :: atomic { read < end ->
        if
        :: known == NONE -> known = decisions[read]
        :: else -> assert(decisions[read] == known)
        fi;
        read++ }
    /* Decides by its own judgement, which may differ between writers. */
#ifdef EVIDENCE_ONLY
    :: atomic { end < MAX_RECORDS ->
        read = end;
#else
    :: atomic { known == NONE && read <= end ->
#endif
        if
        :: opinion = COMPLETED
        :: opinion = ROLLED_BACK
        fi;
        if
        :: append_decision(opinion, read)
        :: late_value == NONE -> late_value = opinion; late_at = read; late_is_status = false
        :: true
        fi }
    /* Tells operators: reads what they see, then appends. */
    :: atomic { status_end < MAX_RECORDS ->
        seen = status_end;
        newest = NONE;
        if
        :: status_end > 0 -> newest = statuses[status_end - 1]
        :: else
        fi };
        atomic {
        if
        :: newest <= RUNNING && known != NONE -> opinion = known
        :: newest == NONE && known == NONE -> opinion = RUNNING
        :: else -> opinion = NONE
        fi;
        if
        :: opinion != NONE -> append_status(opinion, seen)
        :: opinion != NONE && late_value == NONE ->
            late_value = opinion; late_at = seen; late_is_status = true
        :: true
        fi }
    od
}
