// Package quarantine stops requests that crash runners from reaching more runners.
//
// The caller of a request that crashes every runner (a "query of death") may retry it
// at any node and under a new id. Nodes therefore identify a request by a fingerprint
// of its content. Terms of this package:
//
//   - An ending is the end of a runner's process while it ran a request.
//   - A suspect, or suspected request, is a request with endings or with a hold.
//   - The weight of an ending says how unlikely a sound request would have met it by
//     chance. The evidence is the sum of the weights.
//   - A run survives if it goes on when requests that crash runners would have ended it.
//   - A hold states that nodes must not send a request to runners until a given time.
//     A node decides a hold once the evidence suffices. A hold is lifted, before or after
//     it expires, when a runner completes the request, when a run of it survives, or at
//     an operator's request.
//   - A hold is provisional until the evidence amounts to the number of endings that
//     confirms it, and while other runners end as well. Meanwhile trials show whether the
//     request is sound.
//   - The endings of runners under a batch item say nothing about the item as a whole: it is
//     never held, except because of a part of its prompt.
//   - A trial is the one held request that is sent to a runner to see whether it still
//     crashes runners.
//
// Requests that are not alike may share a part of their prompts that crashes runners. Endings
// and completions are therefore counted by part as well, and a part may be held too:
//
//   - A part is suspected if runners ended under it since its last completion. A run that
//     survives counts as a completion.
//   - A failure is an ending whose run began after the part's previous failure and after its last
//     completion.
//
// Nodes report endings, completions and holds to each other in notices, which may be
// lost. Holds are therefore saved in the platform's store as well.
//
// Files and types:
//
//   - decision.go contains the rules: when a request is held and for how long, to which
//     request an ending is attributed, and which runners a suspect avoids.
//   - SuspectTable is the state to which the rules apply. It does no I/O.
//   - partdecision.go contains the rules for parts, PartTable their state, partcases.go the cases to
//     which the rules apply, and parts.go the exchange of reports on them. trial.go contains the
//     trials, and provisional.go those of provisional holds.
//   - background.go weighs endings by the endings of other runners, and says whether so many
//     others end that no hold is confirmed.
//   - CrashDetector distinguishes a runner that ended from a broken connection.
//   - Coordinator exchanges notices with other nodes. It checks requests without I/O.
//   - HoldWriter saves holds in the platform's store.
//
// The package owns the document of holds in the store and sends its notices through
// package notify. The edge and the storage node run it, and the plain node runs it
// through modules/serving/crashes. docs/design/quarantine.md describes the design.
package quarantine
