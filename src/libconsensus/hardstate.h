#ifndef AMARANTHWARD_LIBCONSENSUS_HARDSTATE_H
#define AMARANTHWARD_LIBCONSENSUS_HARDSTATE_H

#include "libconsensus/folder.h"
#include "libcore/ids.h"
#include <memory>

namespace amaranthward {

/// The durable term, vote and identity of one data folder.
class HardState {
public:
  /// Reads the state. An empty folder gets \a Fresh as its identity, which is
  /// durable on return. Fails with Corrupt when the file is damaged, or is
  /// missing beside log or snapshot files.
  static Result<HardState> create(std::shared_ptr<Folder> Files,
                                  DiskIdentity Fresh);

  const DiskIdentity &identity() const { return this->Identity; }
  Term term() const { return this->Current; }
  /// Candidate that got this replica's vote in the term; empty for none.
  const DiskIdentity &vote() const { return this->Vote; }

  /// Durable on success; on failure the state in memory is unchanged.
  Result<void> write(Term Current, DiskIdentity Vote);

private:
  explicit HardState(std::shared_ptr<Folder> Files) : Files(std::move(Files)) {}
  Result<void> parse(const std::string &Text);

  std::shared_ptr<Folder> Files;
  DiskIdentity Identity;
  Term Current;
  DiskIdentity Vote;
};

} // namespace amaranthward

#endif
