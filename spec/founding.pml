/*
 * Founding the control group from seeds, and replacing a member that lost its disk.
 *
 * Three hosts are seeds, a fourth is not. Each starts for the first time in any order, with an
 * empty disk and the order to found; a seed takes the seeds as the members then, any other host
 * founds nothing. A host that lost its disk later starts without the order to found. It joins:
 * the leader takes it out of the voters if it is one, sends it what it lacks, and makes it a
 * voter. Messages are lost and hosts are cut off at any time ("reached" is up and in touch).
 * One entry is written and acknowledged.
 *
 * Proved: whoever leads after the entry was acknowledged has it, so that no second group is
 * ever founded beside or after the first, and a host without its disk never stands in for what
 * it held.
 *
 * Left out: the log beyond one entry, leases, messages that arrive late (quorum.pml has
 * these), more than one lost disk at a time (the stated tolerance of five control hosts is one),
 * an order to found that comes twice.
 *
 * mutant: FOUNDS_AGAIN       a seed with an empty disk founds at every start
 * mutant: FOUNDS_ALONE       a seed founds with itself alone while no other seed is in touch
 * mutant: VOTES_EMPTY        a member that lost its disk votes before it has caught up
 * mutant: TWO_AT_ONCE        the leader replaces two voters in one step, by the new list alone
 */

#define HOSTS 4
#define NONE  9
#define TERMS 3   /* elections */
#define LISTS 4   /* member lists */
#define SEEDS 7   /* hosts 0, 1 and 2 as bits */

#define member(list, h) ((list >> h) & 1)
#define count(list) (member(list, 0) + member(list, 1) + member(list, 2) + member(list, 3))

/* Of each host: what its disk holds. No members is an empty disk. */
byte members[HOSTS], version[HOSTS], term[HOSTS];
bool entry[HOSTS];

bool started[HOSTS], reached[HOSTS], leads[HOSTS];
byte lost = NONE;        /* the host that lost its disk and is no voter again yet */
byte newest, lists = 1;  /* the newest term and member list given out */
bool acknowledged;

/* Voter v votes for h: it is in touch, knows no newer term, and holds nothing that h lacks. */
#define votes(h, v) (member(members[h], v) && reached[v] && members[v] != 0 && (!entry[v] || entry[h]) && version[v] <= version[h])
#define elected(h) (2 * (votes(h, 0) + votes(h, 1) + votes(h, 2) + votes(h, 3)) > count(members[h]))

/* Voter v of the list follows the leader h. */
#define follows(h, v, list) (member(list, v) && reached[v] && term[v] == term[h])
#define led(h, list) (2 * (follows(h, 0, list) + follows(h, 1, list) + follows(h, 2, list) + follows(h, 3, list)) > count(list))
#define stored(h, v) (follows(h, v, members[h]) && entry[v])
#define committed(h) (2 * (stored(h, 0) + stored(h, 1) + stored(h, 2) + stored(h, 3)) > count(members[h]))

/* The leader h has the list in force: those in touch store it, and what comes before it. */
inline install(h, list) {
	v = 0;
	do
	:: v < HOSTS ->
		if
		:: follows(h, v, list) || v == h -> members[v] = list; version[v] = lists + 1; entry[v] = entry[v] || entry[h]
		:: else -> skip
		fi;
		v++
	:: else -> break
	od;
	lists++
}

inline firstStart(h) {
	started[h] = true; reached[h] = true;
	if
	:: member(SEEDS, h) -> members[h] = SEEDS; version[h] = 1
#ifdef FOUNDS_ALONE
	:: member(SEEDS, h) -> members[h] = 1 << h; version[h] = 1
#endif
	:: !member(SEEDS, h) -> skip
	fi
}

inline loseDisk(h) {
	members[h] = 0; version[h] = 0; term[h] = 0; entry[h] = false; leads[h] = false;
	lost = h;
#ifdef FOUNDS_AGAIN
	if
	:: member(SEEDS, h) -> members[h] = SEEDS; version[h] = 1
	:: else -> skip
	fi
#endif
#ifdef VOTES_EMPTY
	members[h] = SEEDS; version[h] = 0
#endif
}

inline elect(h) {
	newest++;
	v = 0;
	do
	:: v < HOSTS ->
		if
		:: votes(h, v) || v == h -> term[v] = newest; leads[v] = false
		:: else -> skip
		fi;
		v++
	:: else -> break
	od;
	leads[h] = true;
	assert(!acknowledged || entry[h])
}

active proctype system() {
	byte h, v, j;
	do
	:: atomic {
		select(h : 0 .. 3);
		if
		:: !started[h] -> firstStart(h)
		:: started[h] -> reached[h] = !reached[h]
		:: started[h] && lost == NONE && members[h] != 0 -> loseDisk(h)
		:: members[h] != 0 && reached[h] && member(members[h], h) && newest < TERMS && elected(h) -> elect(h)
		:: leads[h] && reached[h] && !entry[h] -> entry[h] = true
		:: leads[h] && reached[h] && committed(h) -> acknowledged = true
		:: leads[h] && reached[h] && lists < LISTS ->
			select(j : 0 .. 3);
			if
			/* Replication to a voter or a joining host. */
			:: j != h && reached[j] && started[j] && term[j] <= term[h] && !(lost == j && member(members[h], j)) ->
				term[j] = term[h]; leads[j] = false; entry[j] = entry[h]; members[j] = members[h]; version[j] = version[h]
			/* A voter that lost its disk is taken out first. */
			:: j == lost && member(members[h], j) && count(members[h]) > 1 && led(h, members[h]) && led(h, (members[h] & ~(1 << j))) ->
				install(h, (members[h] & ~(1 << j)))
			/* A joining host is made a voter once it has what the leader has. */
			:: !member(members[h], j) && started[j] && reached[j] && led(h, members[h]) && term[j] == term[h] && entry[j] == entry[h] ->
				install(h, (members[h] | (1 << j)));
				if
				:: j == lost -> lost = NONE
				:: else -> skip
				fi
#ifdef TWO_AT_ONCE
			:: started[3] && reached[3] && !member(members[h], 3) && term[3] <= term[h] ->
				term[3] = term[h];
				install(h, ((1 << h) | (1 << 3)))
#endif
			:: else -> skip
			fi
		:: else -> skip
		fi;
		h = 0; v = 0; j = 0
	   }
	od
}
