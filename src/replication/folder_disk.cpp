#include <algorithm> // sort
#include <cerrno>    // errno
#include <cstring>   // strerror
#include <utility>   // move

#include <dirent.h>   // opendir, readdir
#include <fcntl.h>    // open
#include <sys/file.h> // flock
#include <sys/stat.h> // mkdir, fstat
#include <unistd.h>   // fdatasync, write

#include "acaciapulley/replication/disk.hpp"

namespace acp {

namespace {

constexpr int kFolderMode = 0700;
constexpr int kFileMode = 0600;
constexpr const char* kLockName = "lock";

auto FailSystemCall(const std::string& call, const std::string& path)
{
  return Fail(ReplicationErrorCode::StorageFailed,
              call + " " + path + ": " + std::strerror(errno)); // NOLINT(concurrency-mt-unsafe)
}

bool WriteAt(int file, const std::string& bytes, std::int64_t offset)
{
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count = ::pwrite(file,
                                   bytes.data() + written,
                                   bytes.size() - written,
                                   offset + static_cast<std::int64_t>(written));
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      return false;
    }
    written += static_cast<std::size_t>(count);
  }
  return true;
}

} // namespace

ReplicationResult<std::unique_ptr<FolderDisk>> FolderDisk::Open(const std::string& path)
{
  if (::mkdir(path.c_str(), kFolderMode) != 0 && errno != EEXIST) {
    return FailSystemCall("mkdir", path);
  }
  const int folder = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) {
    return FailSystemCall("open", path);
  }
  const int lock = ::openat(folder, kLockName, O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (lock < 0 || ::flock(lock, LOCK_EX | LOCK_NB) != 0) {
    auto failure = FailSystemCall("lock", path + "/" + kLockName);
    ::close(folder);
    if (lock >= 0) {
      ::close(lock);
    }
    return failure;
  }
  return std::unique_ptr<FolderDisk>(new FolderDisk(path, folder, lock));
}

FolderDisk::FolderDisk(std::string path, int folder, int lock)
  : path_(std::move(path))
  , folderHandle_(folder)
  , lockHandle_(lock)
{
}

FolderDisk::~FolderDisk()
{
  for (const auto& [name, handle] : handles_) {
    ::close(handle);
  }
  ::close(lockHandle_);
  ::close(folderHandle_);
}

ReplicationResult<int> FolderDisk::OpenHandle(const std::string& name)
{
  const auto found = handles_.find(name);
  if (found != handles_.end()) {
    return found->second;
  }
  const int handle = ::openat(folderHandle_, name.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (handle < 0) {
    return FailSystemCall("open", path_ + "/" + name);
  }
  handles_.emplace(name, handle);
  return handle;
}

void FolderDisk::CloseHandle(const std::string& name)
{
  const auto found = handles_.find(name);
  if (found != handles_.end()) {
    ::close(found->second);
    handles_.erase(found);
  }
}

ReplicationResult<std::vector<std::string>> FolderDisk::List()
{
  DIR* stream = ::opendir(path_.c_str());
  if (stream == nullptr) {
    return FailSystemCall("opendir", path_);
  }
  std::vector<std::string> names;
  errno = 0;
  while (const dirent* item = ::readdir(stream)) { // NOLINT(concurrency-mt-unsafe)
    const std::string name = item->d_name;
    if (name != "." && name != ".." && name != kLockName) {
      names.push_back(name);
    }
    errno = 0;
  }
  if (errno != 0) {
    // A short list would be taken for a folder without these files.
    auto failure = FailSystemCall("readdir", path_);
    ::closedir(stream);
    return failure;
  }
  ::closedir(stream);
  std::sort(names.begin(), names.end());
  return names;
}

ReplicationResult<std::string> FolderDisk::Read(const std::string& name)
{
  const int file = ::openat(folderHandle_, name.c_str(), O_RDONLY | O_CLOEXEC);
  struct stat info = {};
  if (file < 0 || ::fstat(file, &info) != 0) {
    auto failure = FailSystemCall("open", path_ + "/" + name);
    if (file >= 0) {
      ::close(file);
    }
    return failure;
  }
  std::string bytes(static_cast<std::size_t>(info.st_size), '\0');
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t count = ::read(file, bytes.data() + done, bytes.size() - done);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      auto failure = FailSystemCall("read", path_ + "/" + name);
      ::close(file);
      return failure;
    }
    done += static_cast<std::size_t>(count);
  }
  ::close(file);
  return bytes;
}

ReplicationResult<void> FolderDisk::Append(const std::string& name, const std::string& bytes)
{
  const auto handle = OpenHandle(name);
  if (!handle) {
    return handle.as_failure();
  }
  const off_t end = ::lseek(handle.value(), 0, SEEK_END);
  if (end < 0 || !WriteAt(handle.value(), bytes, end)) {
    return FailSystemCall("write", path_ + "/" + name);
  }
  return boost::outcome_v2::success();
}

ReplicationResult<void> FolderDisk::Overwrite(const std::string& name, const std::string& bytes)
{
  const auto handle = OpenHandle(name);
  if (!handle) {
    return handle.as_failure();
  }
  if (!WriteAt(handle.value(), bytes, 0)) {
    return FailSystemCall("write", path_ + "/" + name);
  }
  return boost::outcome_v2::success();
}

ReplicationResult<void> FolderDisk::Sync(const std::string& name)
{
  const auto handle = OpenHandle(name);
  if (!handle) {
    return handle.as_failure();
  }
  if (::fdatasync(handle.value()) != 0) {
    return FailSystemCall("fdatasync", path_ + "/" + name);
  }
  return boost::outcome_v2::success();
}

ReplicationResult<void> FolderDisk::Truncate(const std::string& name, std::uint64_t size)
{
  const auto handle = OpenHandle(name);
  if (!handle) {
    return handle.as_failure();
  }
  if (::ftruncate(handle.value(), static_cast<off_t>(size)) != 0) {
    return FailSystemCall("ftruncate", path_ + "/" + name);
  }
  return boost::outcome_v2::success();
}

ReplicationResult<void> FolderDisk::Rename(const std::string& from, const std::string& to)
{
  CloseHandle(from);
  CloseHandle(to);
  if (::renameat(folderHandle_, from.c_str(), folderHandle_, to.c_str()) != 0) {
    return FailSystemCall("rename", path_ + "/" + from);
  }
  return boost::outcome_v2::success();
}

ReplicationResult<void> FolderDisk::Remove(const std::string& name)
{
  CloseHandle(name);
  if (::unlinkat(folderHandle_, name.c_str(), 0) != 0) {
    return FailSystemCall("unlink", path_ + "/" + name);
  }
  return boost::outcome_v2::success();
}

ReplicationResult<void> FolderDisk::SyncFolder()
{
  if (::fsync(folderHandle_) != 0) {
    return FailSystemCall("fsync", path_);
  }
  return boost::outcome_v2::success();
}

} // namespace acp
